package org.godwitwick.node.http

import org.godwitwick.core.model.RequestId
import java.security.SecureRandom
import java.util.HexFormat
import java.util.UUID

/** Header that carries a request's id from callers, to upstreams and in answers. */
const val REQUEST_ID_HEADER = "Request-Id"

/** Key of the request's id in the logging context. */
const val REQUEST_ID_LOG_KEY = "request_id"

/** Gives each request its id. */
object RequestIds {
    private const val SUFFIX_BYTES = 8
    private val uuid = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}-[0-9a-fA-F]{12}")
    private val random = SecureRandom()

    /**
     * The id of a request with the `Request-Id` header [header]. A header of another format than a UUID is ignored.
     *
     * The caller's id gets a random suffix: answers are matched to requests by the id, so two requests must never share one, even
     * when two callers send the same header.
     */
    fun of(header: String?): RequestId {
        if (header == null || !uuid.matches(header)) return RequestId(UUID.randomUUID().toString())
        val suffix = ByteArray(SUFFIX_BYTES).also(random::nextBytes)
        return RequestId("$header.${HexFormat.of().formatHex(suffix)}")
    }
}
