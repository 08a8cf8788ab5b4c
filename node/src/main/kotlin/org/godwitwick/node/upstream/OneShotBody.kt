package org.godwitwick.node.upstream

import okhttp3.MediaType
import okhttp3.RequestBody
import okio.BufferedSink

/**
 * A request body that OkHttp sends at most once. OkHttp repeats a call that is answered with 503 and `Retry-After: 0`, even if
 * `retryOnConnectionFailure` is false; such a repetition would bypass the retry budget.
 */
class OneShotBody(private val content: ByteArray, private val mediaType: MediaType?) : RequestBody() {
    override fun contentType(): MediaType? = mediaType

    override fun contentLength(): Long = content.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        // The sink copies what it is given, so a large body is passed on in parts.
        for (start in content.indices step PART_BYTES) sink.write(content, start, minOf(PART_BYTES, content.size - start))
    }

    private companion object {
        const val PART_BYTES = 16 * 1024
    }
}
