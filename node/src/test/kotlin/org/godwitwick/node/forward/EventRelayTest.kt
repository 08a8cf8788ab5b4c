package org.godwitwick.node.forward

import okhttp3.Protocol
import okhttp3.Request
import okhttp3.Response
import okhttp3.ResponseBody.Companion.toResponseBody
import okio.Buffer
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.upstream.WriteGate
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.IOException

class EventRelayTest {
    private val ends = ArrayList<String?>()
    private val resumedAfter = ArrayList<Long?>()

    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun stream(text: String): UpstreamStream {
        val call = okhttp3.OkHttpClient().newCall(Request.Builder().url("http://127.0.0.1/").build())
        val response = Response.Builder().request(call.request()).protocol(Protocol.HTTP_1_1).code(200).message("")
            .body("".toResponseBody()).build()
        val head = AnswerHead(200, "r", isSigned = true, isNotExecuted = false, isEncoded = false, null, null, emptyList())
        val reader = EventReader(Buffer().writeUtf8(text))
        val entry = UpstreamEntry(InstanceId("e"), "model", "10.0.0.1:80", "a", 11, false, 1)
        return UpstreamStream(head, entry, reader.next(), SendResult.Open(head, response, call, WriteGate()), reader) { }
    }

    private fun relay(first: String, second: String?, lastEventId: Long? = null) = EventRelay(
        stream(first),
        lastEventId,
        { _, _, last ->
            resumedAfter += last
            second?.let(::stream)
        },
        { },
        { ends += it },
    )

    @Test
    fun `whole events are forwarded and the end is reported`() {
        expectThat(relay(event(0) + event(1), null).readAllBytes().decodeToString()).isEqualTo(event(0) + event(1))
        expectThat(ends.single()).isNull()
    }

    // Guards against a partial event that reaches the caller when an engine fails while sending it.
    @Test
    fun `a stream that breaks inside an event is resumed after the last whole event`() {
        val body = relay(event(0) + event(1) + "id: 2\nda", event(2) + event(3)).readAllBytes().decodeToString()
        expectThat(body).isEqualTo(event(0) + event(1) + event(2) + event(3))
        expectThat(resumedAfter.single()).isEqualTo(1L)
    }

    @Test
    fun `a stream that skips an event is resumed at another upstream`() {
        val body = relay(event(0) + event(2), event(1) + event(2)).readAllBytes().decodeToString()
        expectThat(body).isEqualTo(event(0) + event(1) + event(2))
    }

    @Test
    fun `a resumed stream that repeats an earlier event fails the read`() {
        val relay = relay(event(3), null, lastEventId = 5)
        assertThrows<IOException> { relay.readAllBytes() }
    }

    // Guards against a truncated answer that looks complete to the caller.
    @Test
    fun `a broken stream that cannot be resumed fails the read`() {
        val relay = relay(event(0) + "id: 1", null)
        assertThrows<IOException> { relay.readAllBytes() }
        expectThat(ends.single()).isEqualTo("the stream ended inside an event")
    }
}
