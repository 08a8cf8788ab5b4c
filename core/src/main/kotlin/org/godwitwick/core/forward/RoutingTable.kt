package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId

/** A [RoutingConfig] indexed for lookups on the request path. Immutable. */
class RoutingTable(val config: RoutingConfig) {
    private val routes: Map<String, Map<String, ForwardRoute>> =
        config.routes.groupBy { it.host.lowercase() }.mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val services = config.services.associateBy { it.name }
    private val pauseTargets = services.keys.associateWith { PauseTargets.of(config.routes, it) }
    private val ranks = services.keys.associateWith { ServiceRanks.of(config, it) }
    private val priorities = config.organisations.orEmpty().associate { it.organisation to it.priority }
    private val organisations: Map<String, OrganisationId> =
        config.organisations.orEmpty().flatMap { entry -> entry.keys.map { it to entry.organisation } }.toMap()

    /** Whether routes that are not public require a key. */
    val needsKeys: Boolean get() = config.organisations != null

    /** The route of [host] with the longest prefix of [path], or null if there is none; case and port of [host] are ignored. */
    fun routeOf(host: String, path: String): ForwardRoute? {
        val routesByPrefix = routes[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** The organisation to which [key] belongs, or null. */
    fun organisationOf(key: String): OrganisationId? = organisations[key]

    /** The longest allowed pauses of the streams of the service called [name], or null if it has none. */
    fun pauseTargetsOf(name: String): PauseTargets? = pauseTargets[name]

    /** The ranks that compete for the service called [name], or null if no differences are stated. */
    fun ranksOf(name: String): ServiceRanks? = ranks[name]

    /** Rank of a request of [organisation], or of a caller without a key if null, on [route]. */
    fun rankOf(route: ForwardRoute, organisation: OrganisationId?): RequestRank {
        val routePriority = route.priority ?: RequestRank.UNSTATED
        return RequestRank(organisation?.let { priorities[it] } ?: routePriority, routePriority)
    }

    private val allowedRegions: Map<OrganisationId, Set<String>> = config.organisations.orEmpty()
        .mapNotNull { entry -> entry.allowedRegions?.let { entry.organisation to it } }.toMap()

    /** Regions in which a request of [organisation], or of a caller without a key if null, on [route] may be handled; null for all. */
    fun allowedRegionsOf(route: ForwardRoute, organisation: OrganisationId?): Set<String>? {
        if (allowedRegions.isEmpty()) return route.allowedRegions
        return commonRegions(route.allowedRegions, organisation?.let(allowedRegions::get))
    }

    /** Whether a service states what its cold upstreams accept. */
    val hasColdStarts: Boolean = config.services.any { it.cold != null }

    /** The service with this [name], or null. */
    fun serviceOf(name: String): ForwardService? = services[name]
}
