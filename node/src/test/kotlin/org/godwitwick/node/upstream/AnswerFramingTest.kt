package org.godwitwick.node.upstream

import okhttp3.Protocol
import okhttp3.Request
import okhttp3.Response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a log line that states an end of an answer which the upstream has not stated. */
class AnswerFramingTest {
    private fun framingOf(vararg headers: Pair<String, String>): AnswerFraming {
        val response = Response.Builder()
            .request(Request.Builder().url("http://127.0.0.1/").build())
            .protocol(Protocol.HTTP_1_1)
            .code(200)
            .message("OK")
        headers.forEach { (name, value) -> response.header(name, value) }
        return AnswerFraming.of(response.build())
    }

    @Test
    fun `chunks go before a length, and an answer with neither ends with its connection`() {
        expectThat(framingOf("Transfer-Encoding" to "Chunked", "Content-Length" to "3")).isEqualTo(AnswerFraming.CHUNKS)
        expectThat(framingOf("Content-Length" to "3")).isEqualTo(AnswerFraming.LENGTH)
        expectThat(framingOf("Transfer-Encoding" to "identity")).isEqualTo(AnswerFraming.CONNECTION)
    }
}
