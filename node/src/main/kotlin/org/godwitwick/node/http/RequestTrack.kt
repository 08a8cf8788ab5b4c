package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.metrics.RequestMeter
import org.http4k.core.Response
import org.slf4j.LoggerFactory

/** One request's identity, its measurements and the log line of its end. */
class RequestTrack(val id: RequestId, val meter: RequestMeter) {
    /** Records that the request ended with [failure] and returns the answer. */
    fun failed(failure: Failure): Response {
        ended(failure)
        return failureResponse(failure, id)
    }

    /** Records the end of the request, with null for success. Only the first call counts. */
    fun ended(failure: Failure?) {
        if (!meter.end(failure?.kind)) return
        if (failure == null) {
            log.info("http: request ended after {} ms, {} tokens", meter.elapsedMs, meter.tokens)
        } else {
            log.info("http: request failed after {} ms, {} tokens: {}", meter.elapsedMs, meter.tokens, described(failure))
        }
    }

    // The message of a bad request quotes the parser, which quotes the body.
    private fun described(failure: Failure): String =
        if (failure.kind == ErrorKind.BAD_REQUEST) failure.kind.code else "${failure.kind.code}: ${failure.message}"

    private companion object {
        val log = LoggerFactory.getLogger(RequestTrack::class.java)
    }
}
