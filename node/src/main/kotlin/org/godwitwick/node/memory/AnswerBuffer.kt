package org.godwitwick.node.memory

import okio.BufferedSource

/**
 * Reads this answer to its end into its buffer, which [share] accounts for besides [heldBytes] of other bodies. Returns false, with
 * a part of the answer in the buffer, if it is larger than [limitBytes] or if there is too little memory.
 *
 * @param copies how many times the answer is held at most while the caller of this function uses it.
 */
internal fun BufferedSource.buffersWhole(limitBytes: Long, share: BodyShare, heldBytes: Long, copies: Int = 1): Boolean {
    while (true) {
        val wantedBytes = buffer.size + BUFFER_STEP_BYTES
        if (buffer.size > limitBytes || !share.resize(heldBytes + wantedBytes * copies)) return false
        if (!request(wantedBytes)) return true
    }
}

/**
 * Returns this answer, which states a length of [statedBytes] or, if that is negative, none. Returns null if it is larger than
 * [limitBytes] or if there is too little memory; see [buffersWhole] for the other parameters.
 */
internal fun BufferedSource.readWhole(statedBytes: Long, limitBytes: Long, share: BodyShare, heldBytes: Long): ByteArray? {
    if (statedBytes > limitBytes) return null
    if (statedBytes < 0) return if (buffersWhole(limitBytes, share, heldBytes, copies = 2)) readByteArray() else null
    if (!share.resize(maxOf(share.bytes, heldBytes + statedBytes))) return null
    val body = ByteArray(statedBytes.toInt())
    val count = inputStream().readNBytes(body, 0, body.size)
    // Reads the end, so that the connection can be used again.
    return if (count == body.size && exhausted()) body else null
}

private const val BUFFER_STEP_BYTES = 32L * 1024
