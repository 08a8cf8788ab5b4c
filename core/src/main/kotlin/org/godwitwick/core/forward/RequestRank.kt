package org.godwitwick.core.forward

/**
 * Rank of a request among the requests for a service; the lower one is more urgent.
 *
 * @property priority priority of the organisation, or of the route if the organisation states none.
 * @property routePriority priority of the route; decides among requests with the same [priority].
 */
data class RequestRank(val priority: Int, val routePriority: Int) : Comparable<RequestRank> {
    override fun compareTo(other: RequestRank): Int = compareValuesBy(this, other, { it.priority }, { it.routePriority })

    companion object {
        /** Priority of a route that states none: after all that state one. */
        const val UNSTATED = Int.MAX_VALUE
    }
}

/**
 * The ranks that compete for one service, most urgent first.
 *
 * Exists only if the operator states at least two different priorities; otherwise all requests of the service count alike.
 */
class ServiceRanks private constructor(private val ranks: List<RequestRank>, private val pausesMs: DoubleArray) {
    /** Number of levels; level 0 is the most urgent one. */
    val levels: Int get() = pausesMs.size

    /** Level of the streams with the smallest target pause; the most urgent one if several have it. */
    val shortestPauseLevel: Int = pausesMs.indices.minBy { pausesMs[it] }

    /** Smallest target pause of the routes whose requests can have [level], in milliseconds; infinite if none states a target. */
    fun pauseMsOf(level: Int): Double = pausesMs[level]

    /** Smallest target pause of the routes whose requests can have [level] or outrank it, in milliseconds. */
    fun smallestPauseMs(level: Int): Double = (0..level).minOf { pausesMs[it] }

    /** Level of [rank]. A rank that is not in the configuration has the level of the next less urgent one. */
    fun levelOf(rank: RequestRank): Int {
        val index = ranks.indexOfFirst { it >= rank }
        return (if (index < 0) ranks.lastIndex else index).coerceAtMost(MAX_LEVELS - 1)
    }

    companion object {
        /** Bounds what instances report to each other for each upstream. */
        const val MAX_LEVELS = 8

        /** The ranks that [config] states for the streams of the service called [service], or null if it states no differences. */
        fun of(config: RoutingConfig, service: String): ServiceRanks? {
            val routes = config.routes.filter { route ->
                route.kind is RouteKind.Streaming &&
                    route.split.any { it.service == service }
            }
            val routePriorities = routes.mapNotNull { it.priority }.distinct()
            val organisationPriorities = config.organisations.orEmpty().mapNotNull { it.priority }.distinct()
            if (routes.isEmpty() || (routePriorities.size < 2 && organisationPriorities.size < 2)) return null
            val hasUnstated = config.organisations.orEmpty().any { it.priority == null } || routes.any { it.isPublic }
            val ranks = routes.flatMap { route ->
                val routePriority = route.priority ?: RequestRank.UNSTATED
                val priorities = if (hasUnstated ||
                    organisationPriorities.isEmpty()
                ) {
                    organisationPriorities + routePriority
                } else {
                    organisationPriorities
                }
                priorities.map { RequestRank(it, routePriority) }
            }
            val sorted = ranks.distinct().sorted()
            return ServiceRanks(sorted, pausesMsOf(sorted, routes))
        }

        private fun pausesMsOf(ranks: List<RequestRank>, routes: List<ForwardRoute>): DoubleArray {
            val pausesMs = DoubleArray(minOf(ranks.size, MAX_LEVELS)) { Double.POSITIVE_INFINITY }
            ranks.forEachIndexed { index, rank ->
                val level = index.coerceAtMost(MAX_LEVELS - 1)
                routes.filter { (it.priority ?: RequestRank.UNSTATED) == rank.routePriority && it.gapTargetMs > 0 }
                    .forEach { pausesMs[level] = minOf(pausesMs[level], it.gapTargetMs.toDouble()) }
            }
            return pausesMs
        }
    }
}

/** Place of a request among the [ranks] of its service; requests with a lower [level] outrank it. */
data class StatedRank(val level: Int, val ranks: ServiceRanks)
