package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.BufferedInputStream
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Random requests with bodies on one connection each, whose bytes arrive in random parts while earlier requests are answered. */
class PipelinedRequestsTest {
    private class SentRequest(val id: String, val body: String, val workMs: Int) {
        val text = "POST /$id?$workMs HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }

    private val ran = ConcurrentHashMap<String, String>()
    private val server = StreamingUndertow("127.0.0.1", 0, CONNECTIONS * 2).toDisconnectAwareServer { request, caller ->
        caller.onDisconnect { }
        val body = request.body.stream.readAllBytes().decodeToString()
        val id = request.uri.path.removePrefix("/")
        ran[id] = body
        Thread.sleep(request.uri.query.toLong())
        Response(Status.OK).header("Content-Length", id.length.toString()).body(Body(id.byteInputStream(), null))
    }.start()

    @AfterEach
    fun close() {
        server.stop()
    }

    private fun requestsOf(connection: Int, random: Random) = List(REQUESTS) { number ->
        // A part of a body that is read as a request would run under an id of its own.
        val smuggled = "POST /smuggled-$connection-$number?0 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        val body = "x".repeat(random.nextInt(MAX_FILL)) + smuggled + "y".repeat(random.nextInt(MAX_FILL))
        SentRequest("$connection-$number", if (random.nextInt(3) == 0) "" else body, random.nextInt(MAX_WORK_MS))
    }

    private fun play(requests: List<SentRequest>, random: Random): List<String> =
        Socket("127.0.0.1", server.port()).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            val text = requests.joinToString("") { it.text }
            val cuts = (List(CUTS) { random.nextInt(text.length) } + listOf(0, text.length)).distinct().sorted()
            val pausesMs = cuts.map { random.nextLong(MAX_PAUSE_MS) }
            val writer = thread {
                cuts.zipWithNext().forEachIndexed { index, (from, until) ->
                    socket.getOutputStream().write(text.substring(from, until).toByteArray())
                    Thread.sleep(pausesMs[index])
                }
            }
            val input = BufferedInputStream(socket.getInputStream())
            val answers = requests.map { readAnswer(input) }
            writer.join()
            answers
        }

    private fun readAnswer(input: BufferedInputStream): String {
        val head = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.toList()
        val length = head.first { it.startsWith("Content-Length", ignoreCase = true) }.substringAfter(':').trim().toInt()
        return input.readNBytes(length).decodeToString()
    }

    private fun readLine(input: BufferedInputStream) = generateSequence { input.read().takeIf { it >= 0 }?.toChar() }
        .takeWhile { it != '\n' }.joinToString("").trimEnd('\r')

    // Guards against answers in another order than that of the requests, and against requests that nobody sent.
    @Test
    fun `requests are read in the order of their bytes and answered in that order, however the bytes arrive`() {
        val sent = (1..CONNECTIONS).map { requestsOf(it, Random(SEED + it)) }
        val wrong = CopyOnWriteArrayList<String>()
        sent.mapIndexed { index, requests ->
            thread {
                val expected = requests.map { it.id }
                val answers = runCatching { play(requests, Random(SEED - index)) }
                if (answers.getOrNull() != expected) wrong += "connection ${index + 1}: $answers"
            }
        }.forEach { it.join() }
        expectThat(wrong).isEmpty()
        expectThat(ran.toMap()).isEqualTo(sent.flatten().associate { it.id to it.body })
    }

    // Guards against a buffer for answers to pipelined requests, in which an answer waits until the next one is complete.
    @Test
    fun `an answer arrives before the next pipelined request is answered`() = withStreams { socket, input, parts ->
        socket.getOutputStream().write((PLAIN + STREAM).toByteArray())
        expectThat(readAnswer(input)).isEqualTo("plain")
        parts += listOf("1", "")
        expectThat(readStream(input)).isEmpty()
    }

    // Guards against parts of a stream that wait in such a buffer.
    @Test
    fun `each part of a stream arrives at once, also if the caller has pipelined a request`() = withStreams {
            socket,
            input,
            parts,
        ->
        socket.getOutputStream().write((STREAM + PLAIN).toByteArray())
        // Each part is produced only after the one before it has arrived.
        for (part in listOf("1", "2", "3")) {
            parts += part
            while (readLine(input) != part) Unit
        }
        parts += ""
        expectThat(readStream(input)).isEmpty()
        expectThat(readAnswer(input)).isEqualTo("plain")
    }

    private fun withStreams(play: (Socket, BufferedInputStream, LinkedBlockingQueue<String>) -> Unit) {
        val parts = LinkedBlockingQueue<String>()
        val streaming = StreamingUndertow("127.0.0.1", 0, 2).toDisconnectAwareServer { request, caller ->
            caller.onDisconnect { }
            val body = if (request.uri.path == "/plain") Body("plain") else Body(PartsBody(parts), null)
            Response(Status.OK).body(body)
        }.start()
        try {
            Socket("127.0.0.1", streaming.port()).use { socket ->
                socket.soTimeout = TIMEOUT_MS / 2
                play(socket, BufferedInputStream(socket.getInputStream()), parts)
            }
        } finally {
            parts += ""
            streaming.stop()
        }
    }

    /** Reads up to the last chunk and returns the line after it. */
    private fun readStream(input: BufferedInputStream): String {
        while (readLine(input) != "0") Unit
        return readLine(input)
    }

    /** Delivers each of [parts] as soon as it is there, up to an empty one. */
    private class PartsBody(private val parts: LinkedBlockingQueue<String>) : InputStream() {
        override fun read(): Int = error("only reads into an array are supported")

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            val part = parts.take().toByteArray()
            part.copyInto(target, offset)
            return if (part.isEmpty()) -1 else part.size
        }
    }

    private companion object {
        const val CONNECTIONS = 8
        const val REQUESTS = 14
        const val MAX_FILL = 1_500
        const val MAX_WORK_MS = 250
        const val CUTS = 25
        const val MAX_PAUSE_MS = 120L
        const val TIMEOUT_MS = 20_000
        const val SEED = 39_001
        const val PLAIN = "GET /plain HTTP/1.1\r\nHost: a\r\n\r\n"
        const val STREAM = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
    }
}
