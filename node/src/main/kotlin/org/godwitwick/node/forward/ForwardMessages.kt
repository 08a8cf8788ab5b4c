package org.godwitwick.node.forward

import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.OrganisationId

/**
 * A decoded request of a caller.
 *
 * @property target path and query as they were sent.
 * @property timeoutMs time that the caller waits for the answer, or null if it states none.
 * @property size size of the prompt and of the answer in tokens, or null for requests to plain services.
 * @property sharedParts ids of the parts of the prompt that other requests may have as well; its own last part is left out.
 * @property lastEventId id of the last event of an earlier stream that the caller continues, or null.
 * @property headers headers that are forwarded unchanged.
 * @property hop how it came through another instance, or null if it came from its caller.
 */
data class CallerRequest(
    val id: String,
    val method: String,
    val host: String,
    val target: String,
    val timeoutMs: Long?,
    val key: String?,
    val size: RequestSize?,
    val sharedParts: List<String>,
    val lastEventId: Long?,
    val headers: List<Pair<String, String>>,
    val hop: RelayHop? = null,
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')
}

/** An engine that helps with a request; [reservation] is null if it only shares the prefill and reserves no KV cache. */
data class HelperAddress(val address: String, val reservation: String?)

/**
 * A request as it is sent to one upstream.
 *
 * @property remainingMs remaining time until the request's deadline.
 * @property lastEventId id of the last event that the caller has, or null if it has none.
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
 * A request as it is sent to another instance, which serves it in place of this one.
 *
 * @property remainingMs remaining time until the request's deadline.
 * @property lastEventId id of the last event that the caller has, or null if it has none.
 */
data class RelayCall(
    val request: CallerRequest,
    val peer: RegisteredInstance,
    val remainingMs: Long,
    val lastEventId: Long?,
    val hop: RelayHop,
)

/**
 * What an upstream states about itself in an answer.
 *
 * @property limitPerS requests a second that it takes from all instances together, or null if it states no limit.
 * @property isLeaving whether it is shutting down and must not receive new requests.
 * @property waitMs time for which it wants no requests from this instance, or null if it states none.
 * @property coldMs time for which it stays cold, or null if it states none.
 */
data class UpstreamStatement(
    val limitPerS: Double? = null,
    val isLeaving: Boolean = false,
    val waitMs: Long? = null,
    val coldMs: Long? = null,
)

/**
 * The decoded head of an upstream's answer.
 *
 * @property requestId id of the request that it answers, or null if it states none.
 * @property isSigned whether it carries the upstream's signature.
 * @property isNotExecuted whether the upstream states that it did not execute the request.
 * @property isEncoded whether the body has a content encoding.
 * @property faultyAddress address of another upstream that caused a refusal, or null.
 * @property headers headers that are forwarded to the caller.
 * @property statement what the upstream states about itself; it holds only if the answer is for the request that was sent.
 * @property isAmbiguous whether the head contains parts of another one, so that neither can be trusted.
 */
data class AnswerHead(
    val status: Int,
    val requestId: String?,
    val isSigned: Boolean,
    val isNotExecuted: Boolean,
    val isEncoded: Boolean,
    val retryAfterMs: Long?,
    val faultyAddress: String?,
    val headers: List<Pair<String, String>>,
    val statement: UpstreamStatement = UpstreamStatement(),
    val isAmbiguous: Boolean = false,
)
