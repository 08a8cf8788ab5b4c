package org.godwitwick.standins.engine

import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean

/** Writes one response stream. It occupies a thread only while bytes are written, not while the engine computes. */
internal class StreamOutput(private val exchange: HttpServerExchange, private val onDisconnect: () -> Unit) {
    private val pending = ConcurrentLinkedQueue<String>()
    private val isDraining = AtomicBoolean()

    @Volatile
    private var closesWhenDrained = false

    /** Wall-clock time of the last [send], or of the creation. */
    @Volatile
    var lastSentMs = System.currentTimeMillis()
        private set

    /** Set to deliver nothing more; this alone leaves the connection open. */
    @Volatile
    var isFrozen = false

    @Volatile
    private var isOpen = false

    /** Starts writing. The server thread that handled the exchange must have released it by then. */
    fun open() {
        isOpen = true
        schedule()
    }

    /** Queues [text] to be sent without blocking. */
    fun send(text: String) {
        if (isFrozen) return
        lastSentMs = System.currentTimeMillis()
        pending += text
        schedule()
    }

    /** Queues [text] as the last of the response, which ends after it. */
    fun finish(text: String) {
        if (isFrozen) return
        pending += text
        closesWhenDrained = true
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
            onDisconnect()
        }
        isDraining.set(false)
        if ((pending.isNotEmpty() || closesWhenDrained) && !isFrozen) schedule()
    }

    private fun write() {
        val out = exchange.outputStream
        val text = StringBuilder()
        while (true) text.append(pending.poll() ?: break)
        if (text.isNotEmpty()) {
            out.write(text.toString().toByteArray())
            out.flush()
        }
        if (closesWhenDrained && pending.isEmpty()) {
            closesWhenDrained = false
            out.close()
        }
    }

    private companion object {
        const val WRITER_THREADS = 16

        // Shared by all stand-ins in the process. Writes are short, so a few threads serve hundreds of streams.
        val writers = Executors.newFixedThreadPool(WRITER_THREADS) { Thread(it, "engine-writer").apply { isDaemon = true } }
    }
}
