package org.godwitwick.standins.engine

import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean

/** Writes one answer stream. A thread is used only while bytes are written, never while the engine computes. */
internal class StreamOutput(private val exchange: HttpServerExchange, private val onBroken: () -> Unit) {
    private val pending = ConcurrentLinkedQueue<String>()
    private val isDraining = AtomicBoolean()

    @Volatile
    private var isLast = false

    /** Real time of the last bytes. */
    @Volatile
    var lastSentMs = System.currentTimeMillis()
        private set

    /** While set, nothing more is delivered and the connection stays open. */
    @Volatile
    var isFrozen = false

    @Volatile
    private var isOpen = false

    /** Starts writing. The server's own thread must have left the exchange before. */
    fun open() {
        isOpen = true
        schedule()
    }

    /** Sends [text] soon. */
    fun send(text: String) {
        if (isFrozen) return
        lastSentMs = System.currentTimeMillis()
        pending += text
        schedule()
    }

    /** Ends the answer after everything sent before. */
    fun finish(text: String) {
        if (isFrozen) return
        pending += text
        isLast = true
        schedule()
    }

    /** Closes the connection at once. */
    fun abort() {
        isFrozen = true
        runCatching { exchange.connection.close() }
    }

    private fun schedule() {
        if (isOpen && isDraining.compareAndSet(false, true)) writers.execute(::drain)
    }

    private fun drain() {
        try {
            write()
        } catch (_: IOException) {
            isFrozen = true
            onBroken()
        }
        isDraining.set(false)
        if ((pending.isNotEmpty() || isLast) && !isFrozen) schedule()
    }

    private fun write() {
        val out = exchange.outputStream
        val text = StringBuilder()
        while (true) text.append(pending.poll() ?: break)
        if (text.isNotEmpty()) {
            out.write(text.toString().toByteArray())
            out.flush()
        }
        if (isLast && pending.isEmpty()) {
            isLast = false
            out.close()
        }
    }

    private companion object {
        const val WRITER_THREADS = 16

        // Shared by all stand-ins of a process: writes are short, so few threads serve hundreds of streams.
        val writers = Executors.newFixedThreadPool(WRITER_THREADS) { Thread(it, "engine-writer").apply { isDaemon = true } }
    }
}
