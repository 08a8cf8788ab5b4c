package org.godwitwick.lab

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import org.godwitwick.lab.process.EntryProcess
import org.godwitwick.lab.process.LabClient
import org.godwitwick.lab.process.ProcessFleet
import org.godwitwick.lab.process.SmallFleet
import org.godwitwick.standins.run.listRow
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Large answers of a plain service at once. Guards against a heap that runs out, which also ends the requests beside them. */
@Timeout(120)
class LargeAnswersTest {
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).readTimeout(60, TimeUnit.SECONDS).build()
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() = listener.close()

    private fun serveWith(answer: (OutputStream) -> Unit) = thread(isDaemon = true) {
        while (!listener.isClosed) {
            val socket = try {
                listener.accept()
            } catch (_: IOException) {
                break
            }
            thread(isDaemon = true) { serve(socket, answer) }
        }
    }

    private fun serve(socket: Socket, answer: (OutputStream) -> Unit) = socket.use {
        try {
            val input = it.getInputStream().bufferedReader()
            while (true) {
                if (generateSequence { input.readLine() }.takeWhile(String::isNotEmpty).count() == 0) return
                answer(it.getOutputStream())
                it.getOutputStream().flush()
            }
        } catch (_: IOException) {
            // The instance has closed the connection.
        }
    }

    private fun expectSoundInstance(answer: (OutputStream) -> Unit) {
        serveWith(answer)
        val row = listRow("service", "bulk-1", "bulk", "127.0.0.1:${listener.localPort}", SmallFleet.LOCATION)
        SmallFleet(listOf(SmallFleet.engine("engine-1", tokenGapMs = 20.0)), otherRows = listOf(row)).use { fleet ->
            val entry = fleet.entry("entry-1")
            fleet.publishEntries(listOf(entry))
            expectThat(
                LabClient.post(entry.address, "/admin/v1/publications", ROUTES, ProcessFleet.OPERATOR_KEY).status,
            ).isEqualTo(200)
            expectThat(LabClient.stream(entry.address, "a note", 5).isComplete).isTrue()
            val streams = (1..STREAMS).map { async { LabClient.stream(entry.address, "a note", TOKENS).isComplete } }
            val calls = (1..CALLS).map { async { call(entry) } }.map { it.get() }
            // An answer that does not fit is reported as such; 0 stands for no answer at all.
            expectThat(calls.groupingBy { it }.eachCount().filterKeys { it != 200 && it != 502 }).isEmpty()
            expectThat(streams.count { it.get() }).isEqualTo(STREAMS)
            expectThat(entry.process.isAlive).isTrue()
            expectThat(entry.process.log.lines().filter { "OutOfMemoryError" in it }).isEmpty()
        }
    }

    // Returns the status, or 0 if there was no answer or only a part of it.
    private fun call(entry: EntryProcess): Int {
        val request = Request.Builder().url("http://${entry.address}/services/bulk/all")
            .header("Authorization", "Bearer ${ProcessFleet.CALLER_KEY}")
            .post("".toRequestBody())
        return try {
            client.newCall(request.build()).execute().use { answer ->
                answer.body.source().skipAll()
                answer.code
            }
        } catch (_: IOException) {
            0
        }
    }

    private fun BufferedSource.skipAll() {
        while (!exhausted()) skip(buffer.size)
    }

    private fun <T> async(action: () -> T): CompletableFuture<T> = CompletableFuture.supplyAsync({
        action()
    }) { thread(block = it::run) }

    @Test
    fun `streams stay whole while a service sends many answers of just under its limit`() {
        val body = ByteArray(ANSWER_BYTES)
        expectSoundInstance { out ->
            out.write("HTTP/1.1 200 OK\r\nContent-Length: $ANSWER_BYTES\r\n\r\n".toByteArray())
            out.write(body, 0, ANSWER_BYTES - 1)
            out.flush()
            // The service works on its last byte, so that all answers are held at once.
            Thread.sleep(ANSWER_MS)
            out.write(body, 0, 1)
        }
    }

    @Test
    fun `streams stay whole while a service sends many answers without end`() {
        val chunk = "2000\r\n".toByteArray() + ByteArray(8_192) + "\r\n".toByteArray()
        expectSoundInstance { out ->
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray())
            while (true) out.write(chunk)
        }
    }

    private companion object {
        const val BACKLOG = 100
        const val ANSWER_BYTES = 16 * 1024 * 1024 - 1
        const val ANSWER_MS = 500L
        const val CALLS = 24
        const val STREAMS = 5
        const val TOKENS = 150
        const val ROUTES = """
            {"id":"routes","author":"lab-operator","atMs":1,"reason":"a test","changes":[
            {"name":"service.routes","scope":"service:bulk",
            "value":[{"method":"POST","pathPrefix":"/all","idempotent":true}]}]}
        """
    }
}
