package org.godwitwick.node.forward

import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.OrganisationId

/**
 * A caller's request, decoded.
 *
 * @property target path and query as they were sent.
 * @property patienceMs time that the caller waits, or null when it doesn't say.
 * @property size null for requests to plain services.
 * @property lastEventId last event of an earlier stream that the caller continues, or null.
 * @property headers headers that are passed on unchanged.
 */
data class CallerRequest(
    val id: String,
    val method: String,
    val host: String,
    val target: String,
    val patienceMs: Long?,
    val key: String?,
    val size: RequestSize?,
    val lastEventId: Long?,
    val headers: List<Pair<String, String>>,
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')
}

/** A helper of a request; [reservation] is null when it only reads. */
data class HelperAddress(val address: String, val reservation: String?)

/**
 * A request as it is sent to one upstream.
 *
 * @property remainingMs time that is left to the caller.
 * @property lastEventId last event that the caller has, or null at the start.
 */
data class UpstreamCall(
    val request: CallerRequest,
    val upstream: UpstreamEntry,
    val organisation: OrganisationId?,
    val remainingMs: Long,
    val urgency: Int,
    val helpers: List<HelperAddress>,
    val lastEventId: Long?,
)

/**
 * The head of an upstream's answer, decoded.
 *
 * @property requestId the request that it answers, or null when it doesn't say.
 * @property isSigned whether it bears the upstream's signature.
 * @property isNotRun whether the upstream states that it did not run the request.
 * @property faultyAddress address of the upstream that caused a refusal, or null.
 * @property headers headers that are passed on to the caller.
 */
data class AnswerHead(
    val status: Int,
    val requestId: String?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val isEncoded: Boolean,
    val retryAfterMs: Long?,
    val faultyAddress: String?,
    val headers: List<Pair<String, String>>,
)
