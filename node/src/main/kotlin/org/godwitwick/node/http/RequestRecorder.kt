package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.metrics.RequestMeter
import org.http4k.core.Response
import org.slf4j.LoggerFactory

/** Records how one request ends, in the metrics and in the log. */
class RequestRecorder(val id: RequestId, val meter: RequestMeter) {
    /** Records that the request ended with [failure] and returns the error response. */
    fun failWith(failure: Failure): Response {
        end(failure)
        return failureResponse(failure, id)
    }

    /** Records the end of the request, with [failure] or, if that is null, with success. Calls after the first have no effect. */
    fun end(failure: Failure?) {
        if (!meter.end(failure?.kind)) return
        if (failure == null) {
            log.info("http: request ended after {} ms, {} tokens", meter.elapsedMs, meter.tokens)
        } else {
            log.info("http: request failed after {} ms, {} tokens: {}", meter.elapsedMs, meter.tokens, describe(failure))
        }
    }

    // The message of a bad request may quote the request body, so it is not logged.
    private fun describe(failure: Failure): String =
        if (failure.kind == ErrorKind.BAD_REQUEST) failure.kind.code else "${failure.kind.code}: ${failure.message}"

    private companion object {
        val log = LoggerFactory.getLogger(RequestRecorder::class.java)
    }
}
