package org.godwitwick.node.forward

import java.io.InputStream

/**
 * The body of an answer that is not buffered as a whole and is forwarded as it arrives.
 *
 * @param onRead called after each read with the number of bytes that are still buffered.
 * @param onClose called when the body is closed.
 */
class LargeBody(private val open: SendResult.Open, private val onRead: (Long) -> Unit, private val onClose: () -> Unit) :
    InputStream() {
    private val source = open.response.body.source()
    private val input = source.inputStream()

    /** Whether the body was read to its end. */
    var isWhole = false
        private set

    override fun read(): Int = input.read().also(::onRead)

    override fun read(target: ByteArray, offset: Int, length: Int): Int = input.read(target, offset, length).also(::onRead)

    private fun onRead(result: Int) {
        if (result < 0) isWhole = true
        onRead(source.buffer.size)
    }

    override fun close() {
        open.close()
        onClose()
    }
}
