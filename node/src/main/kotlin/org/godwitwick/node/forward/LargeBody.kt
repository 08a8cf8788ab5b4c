package org.godwitwick.node.forward

import java.io.InputStream

/** The body of an answer that is too large to be buffered and is forwarded as it arrives. [onClose] is called when it is closed. */
class LargeBody(private val open: SendResult.Open, private val onClose: () -> Unit) : InputStream() {
    private val input = open.response.body.byteStream()

    override fun read(): Int = input.read()

    override fun read(target: ByteArray, offset: Int, length: Int): Int = input.read(target, offset, length)

    override fun close() {
        open.close()
        onClose()
    }
}
