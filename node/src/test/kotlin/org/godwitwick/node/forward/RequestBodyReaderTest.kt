package org.godwitwick.node.forward

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.godwitwick.core.error.ErrorKind
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RequestBodyReaderTest {
    private fun request(text: String, statedBytes: Int?): Request {
        val request = Request(Method.POST, "/").body(Body(text.byteInputStream(), null))
        return statedBytes?.let { request.replaceHeader("Content-Length", it.toString()) } ?: request
    }

    // Guards against executing a request with a truncated body after a connection reset.
    @Test
    fun `a body shorter than its Content-Length is an error`() {
        expectThat(readBody(request("half", 10), 100).getError()?.kind).isEqualTo(ErrorKind.BAD_REQUEST)
    }

    @Test
    fun `a body with a matching Content-Length or without one is read completely`() {
        expectThat(readBody(request("whole", 5), 100).get()?.decodeToString()).isEqualTo("whole")
        expectThat(readBody(request("whole", null), 100).get()?.decodeToString()).isEqualTo("whole")
    }

    @Test
    fun `a body over the limit is an error`() {
        expectThat(readBody(request("whole", 5), 4).getError()?.kind).isEqualTo(ErrorKind.TOO_LARGE)
    }
}
