package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.GenerateRequest
import java.security.MessageDigest

/** Identifies equal requests of one organisation, without their text. */
@JvmInline
@Serializable
value class Fingerprint(val value: String) {
    companion object {
        private const val HASH_BYTES = 16

        /** Fingerprint of the organisation, model, prompt and token limit of [request]. */
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
