package org.godwitwick.lab.process

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [target] (`ip:port`) and can disturb them.
 *
 * @property tap called for each connection; what it returns gets the text that the target sends, with the time of its receipt.
 */
class TcpForwarder(private val target: String, private val tap: () -> ((String, Long) -> Unit) = { { _, _ -> } }) :
    AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links: MutableSet<Link> = ConcurrentHashMap.newKeySet()

    /** Milliseconds by which every block of bytes is delayed. */
    @Volatile
    var delayMs = 0L

    /** `ip:port` that stands for the target. */
    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "forwarder") { acceptAll() }
    }

    /** Lets the present connections deliver nothing more, while they stay open. New ones work. Returns how many there are. */
    fun silencePresent(): Int = links.onEach { it.isSilent = true }.size

    /** Resets the present connections. New ones work. */
    fun resetPresent() = links.forEach { it.reset() }

    override fun close() {
        listener.close()
        links.forEach { it.end() }
    }

    private fun acceptAll() {
        while (true) {
            val caller = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            open(caller)
        }
    }

    private fun open(caller: Socket) {
        val upstream = try {
            Socket(target.substringBefore(':'), target.substringAfter(':').toInt())
        } catch (_: IOException) {
            caller.close()
            return
        }
        val link = Link(caller, upstream)
        links += link
        thread(isDaemon = true, name = "forwarder-up") { link.pump(caller, upstream) { _, _ -> } }
        thread(isDaemon = true, name = "forwarder-down") { link.pump(upstream, caller, tap()) }
    }

    private inner class Link(private val caller: Socket, private val upstream: Socket) {
        @Volatile
        var isSilent = false

        fun pump(from: Socket, to: Socket, observe: (String, Long) -> Unit) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (delayMs > 0) Thread.sleep(delayMs)
                    if (isSilent) continue
                    observe(String(buffer, 0, count, Charsets.ISO_8859_1), System.nanoTime())
                    to.getOutputStream().write(buffer, 0, count)
                }
                // A silent connection does not even deliver the end of the stream.
                if (!isSilent) end()
            } catch (_: IOException) {
                end()
            }
        }

        fun reset() {
            caller.setSoLinger(true, 0)
            end()
        }

        fun end() {
            links -= this
            caller.close()
            upstream.close()
        }
    }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 16 * 1024
    }
}
