package org.godwitwick.node.memory

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.http4k.core.Request
import java.io.IOException
import java.io.InputStream

/**
 * Reads the whole body of [request], at most [limitBytes], into memory that [share] accounts for. A body with a stated length is
 * refused before it is read if there is too little memory. A body that is shorter than its Content-Length is an error even if the
 * server reports a regular end, which may happen when the connection is reset while the body is read.
 */
fun readBody(request: Request, limitBytes: Int, share: BodyShare): Result<ByteArray, Failure> {
    val statedBytes = request.header("Content-Length")?.toLongOrNull()
    if (statedBytes != null && statedBytes > limitBytes) return Err(tooLarge(limitBytes))
    if (statedBytes != null && !share.resize(statedBytes)) return Err(bodyMemoryExhausted)
    return try {
        request.body.stream.use { input ->
            statedBytes?.let { readStated(input, it.toInt()) } ?: readUnstated(input, limitBytes, share)
        }
    } catch (e: IOException) {
        Err(Failure(ErrorKind.BAD_REQUEST, "the request body could not be read: ${e.message}"))
    }
}

private fun readStated(input: InputStream, statedBytes: Int): Result<ByteArray, Failure> {
    val body = ByteArray(statedBytes)
    val count = input.readNBytes(body, 0, statedBytes)
    if (count == statedBytes) return Ok(body)
    return Err(Failure(ErrorKind.BAD_REQUEST, "the request body ended after $count of $statedBytes bytes"))
}

private fun readUnstated(input: InputStream, limitBytes: Int, share: BodyShare): Result<ByteArray, Failure> {
    val parts = ArrayList<ByteArray>()
    var count = 0
    while (true) {
        // Joining the parts takes their size once more.
        if (!share.resize((count + PART_BYTES) * COPIES)) return Err(bodyMemoryExhausted)
        val part = input.readNBytes(PART_BYTES)
        count += part.size
        if (count > limitBytes) return Err(tooLarge(limitBytes))
        parts += part
        if (part.size < PART_BYTES) break
    }
    val body = ByteArray(count)
    var position = 0
    parts.forEach {
        it.copyInto(body, position)
        position += it.size
    }
    share.resize(count.toLong())
    return Ok(body)
}

private fun tooLarge(limitBytes: Int) = Failure(ErrorKind.TOO_LARGE, "the request body exceeds $limitBytes bytes")

internal val bodyMemoryExhausted =
    Failure(ErrorKind.OVERLOADED, "the bodies in flight take all memory for bodies", retryAfterMs = RETRY_MS)

private const val PART_BYTES = 16 * 1024
private const val COPIES = 2L

/** Retry delay that callers are advised; most requests end within it. */
private const val RETRY_MS = 500L
