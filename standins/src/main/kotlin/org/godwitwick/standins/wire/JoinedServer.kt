package org.godwitwick.standins.wire

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import kotlin.concurrent.thread

/**
 * Server on raw sockets that answers a request, which has the id of a play in its line or its body, as one of [cells] describes.
 *
 * @param answersOf returns the answers of a cell in the play with an id.
 */
class JoinedServer(
    private val cells: List<JoinedCell>,
    private val answersOf: (cell: JoinedCell, play: String) -> JoinedAnswer,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val pausesMs = ConcurrentHashMap<String, Long>()

    /** `ip:port` of this server. */
    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = try {
                    listener.accept()
                } catch (_: IOException) {
                    break
                }
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    private fun serve(socket: Socket) = try {
        val input = BufferedInputStream(socket.getInputStream())
        generateSequence { readRequest(input) }.forEach { request ->
            val (play, number) = checkNotNull(PLAY.find(request)) { "no play in $request" }.destructured
            val pauseMs = answersOf(cells[number.toInt()], play).write(socket)
            pausesMs.merge(play, pauseMs, ::maxOf)
        }
    } catch (_: IOException) {
        // The client has closed the connection.
    } finally {
        socket.close()
    }

    // Returns the line and the body of a request, or null at the end of the connection.
    private fun readRequest(input: InputStream): String? {
        val line = readLine(input) ?: return null
        val headers = generateSequence { readLine(input)?.ifEmpty { null } }.toList()
        val length = headers.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
        return line + input.readNBytes(length?.substringAfter(':')?.trim()?.toInt() ?: 0).decodeToString()
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    /**
     * Plays all cells and returns how often each fault occurred. A play in which this server was held up is not the one that its cell
     * describes, and is repeated.
     *
     * @param faultOf sends a request with the id of a play and returns what is wrong with its result, or null.
     */
    fun faults(faultOf: (cell: JoinedCell, play: String) -> String?): List<String> {
        val pool = Executors.newFixedThreadPool(CALLERS)
        try {
            val plays = cells.indices.map { number -> Callable { faultOfCell(number, faultOf) } }
            return pool.invokeAll(plays).mapNotNull { it.get() }
                .groupingBy { it }.eachCount().map { (fault, count) -> "$count x $fault" }.sorted()
        } finally {
            pool.shutdownNow()
        }
    }

    private fun faultOfCell(number: Int, faultOf: (JoinedCell, String) -> String?): String? {
        val cell = cells[number]
        repeat(MAX_PLAYS) { attempt ->
            val play = "play-$number-$attempt"
            val fault = faultOf(cell, play) ?: return null
            if (pausesMs.getOrDefault(play, 0) <= JoinedAnswer.MAX_PAUSE_MS) return "${cell.group}: $fault"
        }
        return "${cell.group}: the server was held up in each play"
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 200
        const val CALLERS = 32
        const val MAX_PLAYS = 5
        val PLAY = Regex("""(play-(\d+)-\d+)""")
    }
}
