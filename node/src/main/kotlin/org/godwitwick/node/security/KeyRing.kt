package org.godwitwick.node.security

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.OrganisationId
import java.security.MessageDigest

/** Who presents a key. */
sealed interface Principal {
    /** A caller that belongs to an organisation. */
    data class Caller(val organisation: OrganisationId) : Principal

    /** An operator, who may publish configuration and read the administration API. */
    data class Operator(val name: String) : Principal
}

/** One entry of a key file. Exactly one of [organisation] and [operator] is set; [keySha256] is the key's hash in lower-case hex. */
@Serializable
data class KeyEntry(val keySha256: String, val organisation: String? = null, val operator: String? = null)

/** Finds the principal of a bearer key. Only hashes are held, so a key can't leak from memory dumps or logs. */
class KeyRing(entries: List<KeyEntry>) {
    private val principals: Map<String, Principal> = entries.associate { it.keySha256.lowercase() to principalOf(it) }

    /** The principal of the `Authorization` header [header], or null. */
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

/** SHA-256 of [text] in lower-case hex. */
fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
