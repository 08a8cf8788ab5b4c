package org.godwitwick.node.memory

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.io.InputStream

class RequestBodyReaderTest {
    private val memory = BodyMemory(limitBytes = 1L shl 20) { 0 }
    private val share = memory.open()

    private fun request(text: String, statedBytes: Int?): Request {
        val request = Request(Method.POST, "/").body(Body(text.byteInputStream(), null))
        return statedBytes?.let { request.replaceHeader("Content-Length", it.toString()) } ?: request
    }

    // Guards against executing a request with a truncated body after a connection reset.
    @Test
    fun `a body shorter than its Content-Length is an error`() {
        expectThat(readBody(request("half", 10), 100, share).getError()?.kind).isEqualTo(ErrorKind.BAD_REQUEST)
    }

    @Test
    fun `a body with a matching Content-Length or without one is read completely`() {
        expectThat(readBody(request("whole", 5), 100, share).get()?.decodeToString()).isEqualTo("whole")
        expectThat(readBody(request("whole", null), 100, share).get()?.decodeToString()).isEqualTo("whole")
    }

    @Test
    fun `a body over the limit is an error`() {
        expectThat(readBody(request("whole", 5), 4, share).getError()?.kind).isEqualTo(ErrorKind.TOO_LARGE)
    }

    private fun unreadable(statedBytes: Int): Request {
        val body = object : InputStream() {
            override fun read(): Int = error("the body is read")
        }
        return Request(Method.POST, "/").body(Body(body, null)).replaceHeader("Content-Length", statedBytes.toString())
    }

    // Guards against bodies that together exceed the heap.
    @Test
    fun `a body with a stated length beyond the memory is refused before it is read`() {
        memory.open().resize(900_000)
        val failure = readBody(unreadable(100_000), 200_000, share).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.OVERLOADED)
        expectThat(failure?.ran).isEqualTo(Executed.NO)
        expectThat(memory.usedBytes).isEqualTo(900_000)
    }

    @Test
    fun `a body that states more than the limit is refused before it is read`() {
        expectThat(readBody(unreadable(101), 100, share).getError()?.kind).isEqualTo(ErrorKind.TOO_LARGE)
    }

    @Test
    fun `a body without a length is refused when it has grown beyond the memory`() {
        memory.open().resize(800_000)
        val body = ByteArray(200_000).inputStream()
        val request = Request(Method.POST, "/").body(Body(body, null))
        expectThat(readBody(request, 300_000, share).getError()?.kind).isEqualTo(ErrorKind.OVERLOADED)
        expectThat(body.available()).isNotEqualTo(0)
        share.close()
        expectThat(memory.usedBytes).isEqualTo(800_000)
    }

    @Test
    fun `a body holds its own size once it is read`() {
        val request = Request(Method.POST, "/").body(Body(ByteArray(100_000).inputStream(), null))
        expectThat(readBody(request, 300_000, share).get()?.size).isEqualTo(100_000)
        expectThat(share.bytes).isEqualTo(100_000)
    }
}
