package org.godwitwick.node.security

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.OrganisationId
import java.security.MessageDigest

/** The holder of a key. */
sealed interface Principal {
    /** A caller that belongs to an organisation. */
    data class Caller(val organisation: OrganisationId) : Principal

    /** An operator, who may publish configuration and read the administration API. */
    data class Operator(val name: String) : Principal
}

/**
 * One entry of a key file. Exactly one of [organisation] and [operator] is set; [keySha256] is the key's hash in lower-case hex.
 */
@Serializable
data class KeyEntry(val keySha256: String, val organisation: String? = null, val operator: String? = null)

/** Maps bearer keys to principals. Only hashes of keys are stored, so that no key can leak through a memory dump or a log. */
class KeyRing(entries: List<KeyEntry>) {
    private val principals: Map<String, Principal> = entries.associate { it.keySha256.lowercase() to principalOf(it) }

    /** Returns the principal of the `Authorization` header [header], or null if it contains no known bearer key. */
    fun principalOf(header: String?): Principal? {
        if (header == null || !header.startsWith(BEARER_PREFIX)) return null
        return principals[sha256Hex(header.substring(BEARER_PREFIX.length).trim())]
    }

    private fun principalOf(entry: KeyEntry): Principal =
        entry.operator?.let { Principal.Operator(it) } ?: Principal.Caller(OrganisationId(requireNotNull(entry.organisation)))

    private companion object {
        const val BEARER_PREFIX = "Bearer "
    }
}

/** Returns the SHA-256 of [text] in lower-case hex. */
fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
