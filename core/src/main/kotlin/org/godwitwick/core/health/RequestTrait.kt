package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A property that several requests may share and that may be what crashes an upstream: a part of the prompt, or the whole request. */
@JvmInline
@Serializable
value class RequestTrait(val value: String) {
    /** Whether this trait identifies equal requests, as opposed to different requests with a common part. */
    val isWholeRequest: Boolean get() = value.startsWith(REQUEST_PREFIX)

    companion object {
        private const val PART_PREFIX = "part:"
        private const val REQUEST_PREFIX = "request:"
        private const val HASH_BYTES = 12

        /** The trait of prompts that contain the part with [id]. */
        fun ofPart(id: String) = RequestTrait(PART_PREFIX + id)

        /** The trait of requests that are equal in [target], [caller] and [body]; contains a hash of these only. */
        fun ofRequest(target: String, caller: String, body: ByteArray): RequestTrait {
            val digest = MessageDigest.getInstance("SHA-256")
            listOf(target, caller).forEach {
                digest.update(it.toByteArray())
                digest.update(0)
            }
            val hash = digest.digest(body).take(HASH_BYTES).joinToString("") { "%02x".format(it) }
            return RequestTrait(REQUEST_PREFIX + hash)
        }
    }
}
