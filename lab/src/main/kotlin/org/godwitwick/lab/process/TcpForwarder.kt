package org.godwitwick.lab.process

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [target] (`ip:port`) and can delay, silence and reset them.
 *
 * @property newObserver called for each connection; the observer that it returns is called with each block of text that the
 * target sends and the [System.nanoTime] of its receipt.
 */
class TcpForwarder(private val target: String, private val newObserver: () -> ((String, Long) -> Unit) = { { _, _ -> } }) :
    AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections: MutableSet<Connection> = ConcurrentHashMap.newKeySet()

    /** Delay of every block of bytes in both directions, in milliseconds. */
    @Volatile
    var delayMs = 0L

    /** `ip:port` on which the forwarder listens. */
    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "forwarder") { acceptAll() }
    }

    /** Stops delivery on all open connections without closing them and returns their number. New connections work. */
    fun silenceOpenConnections(): Int = connections.onEach { it.isSilent = true }.size

    /** Resets all open connections. New connections work. */
    fun resetOpenConnections() = connections.forEach { it.reset() }

    override fun close() {
        listener.close()
        connections.forEach { it.closeBoth() }
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
        val connection = Connection(caller, upstream)
        connections += connection
        thread(isDaemon = true, name = "forwarder-up") { connection.pump(caller, upstream) { _, _ -> } }
        thread(isDaemon = true, name = "forwarder-down") { connection.pump(upstream, caller, newObserver()) }
    }

    private inner class Connection(private val caller: Socket, private val upstream: Socket) {
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
                // A silent connection does not deliver the end of the stream either.
                if (!isSilent) closeBoth()
            } catch (_: IOException) {
                closeBoth()
            }
        }

        fun reset() {
            caller.setSoLinger(true, 0)
            closeBoth()
        }

        fun closeBoth() {
            connections -= this
            caller.close()
            upstream.close()
        }
    }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 16 * 1024
    }
}
