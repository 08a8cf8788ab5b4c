package org.godwitwick.node.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.RequestId
import org.http4k.core.Response
import org.http4k.core.Status

/** Body of an error answer. */
@Serializable
data class ErrorAnswer(val error: ErrorBody)

/**
 * Description of an error.
 *
 * @property kind code of the error kind.
 * @property message description for humans.
 * @property ran whether the request was executed.
 * @property retryAfterMs time after which a retry may succeed, or null if there is no such hint.
 */
@Serializable
data class ErrorBody(
    val kind: String,
    val message: String,
    val ran: Executed,
    @SerialName("retry_after_ms") val retryAfterMs: Long?,
    @SerialName("request_id") val requestId: String,
)

/** Returns the error body of [failure] for request [id]. */
fun errorAnswer(failure: Failure, id: RequestId): ErrorAnswer =
    ErrorAnswer(ErrorBody(failure.kind.code, failure.message, failure.ran, failure.retryAfterMs, id.value))

/** Returns the HTTP response of [failure] for request [id]; `Retry-After` is rounded up to whole seconds. */
fun failureResponse(failure: Failure, id: RequestId): Response {
    val response = Response(Status(failure.kind.httpStatus, failure.kind.code))
        .header("Content-Type", "application/json")
        .header(REQUEST_ID_HEADER, id.value)
        .body(Json.encodeToString(errorAnswer(failure, id)))
    val retryAfterMs = failure.retryAfterMs ?: return response
    return response.header("Retry-After", ((retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
}

private const val MS_PER_SECOND = 1_000L
