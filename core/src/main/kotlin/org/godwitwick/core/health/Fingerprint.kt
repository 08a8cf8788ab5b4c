package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.GenerateRequest
import java.security.MessageDigest

/** Hash that identifies equal requests of one organisation without containing their text. */
@JvmInline
@Serializable
value class Fingerprint(val value: String) {
    companion object {
        private const val HASH_BYTES = 16

        /** Returns the fingerprint of [request], computed from its organisation, model, token limit and prompt. */
        fun of(request: GenerateRequest): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            listOf(request.organisation.value, request.model, request.maxTokens.toString(), request.prompt).forEach {
                digest.update(it.toByteArray())
                digest.update(0)
            }
            return Fingerprint(digest.digest().take(HASH_BYTES).joinToString("") { "%02x".format(it) })
        }
    }
}
