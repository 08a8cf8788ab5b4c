package org.godwitwick.standins.platform

import java.io.OutputStream

/** Id of the request, which each caller attempt has of its own. */
val ReceivedRequest.id: String get() = headers["x-request-id"].orEmpty()

/** Path and query of the request. */
val ReceivedRequest.target: String get() = line.split(' ').getOrElse(1) { "" }

/** Organisation in whose name the request is sent, or null. */
val ReceivedRequest.organisation: String? get() = headers["x-tenant"]

/** Whether the request carries a key of a caller. */
val ReceivedRequest.hasKey: Boolean get() = "authorization" in headers

/** Id of the last event that the caller has already, or null. */
val ReceivedRequest.lastEventId: Int? get() = headers["last-event-id"]?.toIntOrNull()

/** Writes a signed success, with the [limit] of requests a second that the upstream names, if any. */
fun OutputStream.succeed(request: ReceivedRequest, signature: String, body: String, limit: Double? = null) {
    val signed = "X-Response-Signature" to signature
    if (limit == null) answer(request, 200, body, signed) else answer(request, 200, body, signed, "Server-Limit" to "$limit")
}

/** Writes a signed failure of a request that ran. */
fun OutputStream.fail(request: ReceivedRequest, signature: String) =
    answer(request, 500, "error", "X-Response-Signature" to signature)

/** Writes a refusal that states that the request did not run. */
fun OutputStream.refuse(request: ReceivedRequest) = answer(request, 503, "", "X-Not-Executed" to "1")
