package org.godwitwick.node.upstream

import okhttp3.MediaType
import okhttp3.RequestBody
import okio.BufferedSink

/**
 * A request body that OkHttp sends once. It would repeat a call that is answered by 503 with `Retry-After: 0`, also without
 * `retryOnConnectionFailure`, outside the retry budget.
 */
class OneShotBody(private val content: ByteArray, private val mediaType: MediaType?) : RequestBody() {
    override fun contentType(): MediaType? = mediaType

    override fun contentLength(): Long = content.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(content)
    }
}
