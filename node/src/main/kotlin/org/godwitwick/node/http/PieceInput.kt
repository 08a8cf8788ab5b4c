package org.godwitwick.node.http

import java.io.InputStream

/** An input stream of pieces that become available one by one; a read returns bytes of one piece only. */
abstract class PieceInput : InputStream() {
    private var piece = ByteArray(0)
    private var position = 0

    /** The next piece, which isn't empty, or null at the end. Waits until there is one. */
    protected abstract fun nextPiece(): ByteArray?

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (position == piece.size) {
            piece = nextPiece() ?: return -1
            position = 0
        }
        val count = minOf(length, piece.size - position)
        piece.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
