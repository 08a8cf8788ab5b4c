package org.godwitwick.node.http

import org.godwitwick.core.model.RequestId
import java.security.SecureRandom
import java.util.HexFormat
import java.util.UUID

/** Header with the request id, in requests from callers, in requests to upstreams, and in answers. */
const val REQUEST_ID_HEADER = "Request-Id"

/** Key of the request id in the logging context. */
const val REQUEST_ID_LOG_KEY = "request_id"

/** Generates request ids. */
object RequestIds {
    private const val SUFFIX_BYTES = 8
    private val uuid = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}-[0-9a-fA-F]{12}")
    private val random = SecureRandom()

    /**
     * Returns a new id for a request with the `Request-Id` header [header]. The id starts with the header if that is a UUID; any
     * other header is ignored.
     *
     * The random suffix keeps ids unique even when two callers send the same header. Answers are matched to requests by id, so
     * two requests must never share one.
     */
    fun of(header: String?): RequestId {
        if (header == null || !uuid.matches(header)) return RequestId(UUID.randomUUID().toString())
        val suffix = ByteArray(SUFFIX_BYTES).also(random::nextBytes)
        return RequestId("$header.${HexFormat.of().formatHex(suffix)}")
    }
}
