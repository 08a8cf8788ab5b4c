package org.godwitwick.node.memory

import java.io.FilterInputStream
import java.io.InputStream

/** Reads [input], and calls [onClose] once after it has been closed. */
class ClosingInputStream(input: InputStream, private val onClose: () -> Unit) : FilterInputStream(input) {
    private var isClosed = false

    override fun close() {
        if (isClosed) return
        isClosed = true
        try {
            super.close()
        } finally {
            onClose()
        }
    }
}
