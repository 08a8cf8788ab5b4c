package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.http4k.core.Request
import java.io.IOException

/**
 * Reads the whole body of [request], at most [limitBytes]. A body that is shorter than its Content-Length is an error even if the
 * server reports a regular end, which may happen when the connection is reset while the body is read.
 */
fun readBody(request: Request, limitBytes: Int): Result<ByteArray, Failure> {
    val body = try {
        request.body.stream.use { it.readNBytes(limitBytes + 1) }
    } catch (e: IOException) {
        return Err(Failure(ErrorKind.BAD_REQUEST, "the request body could not be read: ${e.message}"))
    }
    if (body.size > limitBytes) return Err(Failure(ErrorKind.TOO_LARGE, "the request body exceeds $limitBytes bytes"))
    val statedBytes = request.header("Content-Length")?.toLongOrNull()
    if (statedBytes == null || statedBytes == body.size.toLong()) return Ok(body)
    return Err(Failure(ErrorKind.BAD_REQUEST, "the request body ended after ${body.size} of $statedBytes bytes"))
}
