package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.http4k.core.Request
import java.io.IOException

/**
 * Reads the whole body of [request], at most [limitBytes]. A body that is shorter than its stated length is an error, also when the
 * server reports its end as a regular one, as it may when the connection is reset while the body is read.
 */
fun readBody(request: Request, limitBytes: Int): Result<ByteArray, Failure> {
    val body = try {
        request.body.stream.use { it.readNBytes(limitBytes + 1) }
    } catch (e: IOException) {
        return Err(Failure(ErrorKind.BAD_REQUEST, "the body can't be read: ${e.message}"))
    }
    if (body.size > limitBytes) return Err(Failure(ErrorKind.TOO_LARGE, "the body is over $limitBytes bytes"))
    val statedBytes = request.header("Content-Length")?.toLongOrNull()
    if (statedBytes == null || statedBytes == body.size.toLong()) return Ok(body)
    return Err(Failure(ErrorKind.BAD_REQUEST, "the body ended after ${body.size} of $statedBytes bytes"))
}
