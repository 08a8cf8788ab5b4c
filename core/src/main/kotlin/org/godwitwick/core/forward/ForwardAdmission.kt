package org.godwitwick.core.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.OrganisationId

/** Target of a caller's request; [key] is the key that the caller presented, or null. */
data class ForwardTarget(val host: String, val path: String, val key: String?)

/**
 * Route, organisation and rank of an admitted request.
 *
 * @property organisation null if the route needs no key.
 * @property regions regions in which the request may be handled, or null for all.
 */
data class AdmittedTarget(
    val route: ForwardRoute,
    val organisation: OrganisationId?,
    val regions: Set<String>? = null,
    val rank: RequestRank = RequestRank(route.priority ?: RequestRank.UNSTATED, route.priority ?: RequestRank.UNSTATED),
)

/**
 * Configuration of an instance and how recent it is.
 *
 * @property table the routing table in force, or null before the first configuration.
 * @property provenAt latest time at which [table] was proven to be the newest version, or null if it never was.
 */
data class RoutingState(val table: RoutingTable?, val provenAt: ClockReading?)

/**
 * Decides whether a request may be forwarded.
 *
 * An instance with a stale configuration refuses the requests that depend on it with [ErrorKind.CONFIG_UNCONFIRMED] ("not run")
 * instead of denying them, because the key or the route may be valid in the current configuration.
 */
class ForwardAdmission(private val freshness: KeyFreshness) {
    /** Returns the route and organisation of [target], or the reason why it is refused. */
    fun admit(target: ForwardTarget, routingState: RoutingState, now: ClockReading): Result<AdmittedTarget, Failure> {
        val table = routingState.table ?: return Err(unconfirmed("no configuration has been received yet"))
        val isFresh = freshness.mayAcceptKeys(routingState.provenAt, now)
        val route = table.routeOf(target.host, target.path)
            ?: return Err(if (isFresh) Failure(ErrorKind.NOT_FOUND, "no route for this host and path") else stale())
        if (route.isPublic || !table.needsKeys) return Ok(AdmittedTarget(route, null, route.allowedRegions))
        if (!isFresh) return Err(stale())
        val organisation = target.key?.let(table::organisationOf)
            ?: return Err(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"))
        return Ok(
            AdmittedTarget(route, organisation, table.allowedRegionsOf(route, organisation), table.rankOf(route, organisation)),
        )
    }

    private fun stale() = unconfirmed("the configuration has not been confirmed for too long")

    // Another instance may have a newer configuration, so the caller should retry immediately.
    private fun unconfirmed(message: String) = Failure(ErrorKind.CONFIG_UNCONFIRMED, message, retryAfterMs = 0)
}
