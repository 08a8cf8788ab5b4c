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
fun OutputStream.succeed(request: ReceivedRequest, signature: String, body: String, limit: Double? = null) =
    answer(request, 200, body, *listOfNotNull("X-Response-Signature" to signature, limitHeader(limit)).toTypedArray())

/** Writes a signed failure of a request that ran. */
fun OutputStream.fail(request: ReceivedRequest, signature: String, limit: Double? = null) =
    answer(request, 500, "error", *listOfNotNull("X-Response-Signature" to signature, limitHeader(limit)).toTypedArray())

/** Writes a refusal that states that the request did not run. */
fun OutputStream.refuse(request: ReceivedRequest, limit: Double? = null) =
    answer(request, 503, "", *listOfNotNull("X-Not-Executed" to "1", limitHeader(limit)).toTypedArray())

private fun limitHeader(limit: Double?) = limit?.let { "Server-Limit" to "$it" }
