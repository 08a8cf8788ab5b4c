package org.godwitwick.node.http

import java.io.InputStream

/** An input stream over chunks that become available one after the other. A read never returns bytes of more than one chunk. */
abstract class ChunkedInputStream : InputStream() {
    private var chunk = ByteArray(0)
    private var position = 0

    /** Waits for the next chunk and returns it, or null at the end of the stream. A chunk must not be empty. */
    protected abstract fun nextChunk(): ByteArray?

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (position == chunk.size) {
            chunk = nextChunk() ?: return -1
            position = 0
        }
        val count = minOf(length, chunk.size - position)
        chunk.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
