package org.godwitwick.core.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.OrganisationId

/** What a caller asks for: the target of its request and the key that it presents, or null. */
data class ForwardTarget(val host: String, val path: String, val key: String?)

/** A request that may be forwarded on [route]; [organisation] is null where no key is needed. */
data class AdmittedTarget(val route: ForwardRoute, val organisation: OrganisationId?)

/**
 * What an instance knows of the configuration.
 *
 * @property table the configuration in force, or null before the first one.
 * @property provenAt the latest moment at which the table is known to have been the newest, or null.
 */
data class ConfigKnowledge(val table: RoutingTable?, val provenAt: ClockReading?)

/**
 * Decides whether a request may be forwarded. An instance whose knowledge is old refuses requests that depend on it as "not run"
 * instead of denying them, because the caller may be in the right.
 */
class ForwardAdmission(private val freshness: KeyFreshness) {
    /** The route and organisation of [target], or why it is refused. */
    fun admit(target: ForwardTarget, knowledge: ConfigKnowledge, now: ClockReading): Result<AdmittedTarget, Failure> {
        val table = knowledge.table ?: return Err(unconfirmed("no configuration is known yet"))
        val isFresh = freshness.mayHonourKeys(knowledge.provenAt, now)
        val route = table.routeOf(target.host, target.path)
            ?: return Err(if (isFresh) Failure(ErrorKind.NOT_FOUND, "no route for this host and path") else stale())
        if (route.isPublic || !table.needsKeys) return Ok(AdmittedTarget(route, null))
        if (!isFresh) return Err(stale())
        val organisation = target.key?.let(table::organisationOf)
            ?: return Err(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"))
        return Ok(AdmittedTarget(route, organisation))
    }

    private fun stale() = unconfirmed("the configuration has not been confirmed for too long")

    // Another instance may know more, so the caller should ask it at once.
    private fun unconfirmed(message: String) = Failure(ErrorKind.CONFIG_UNCONFIRMED, message, retryAfterMs = 0)
}
