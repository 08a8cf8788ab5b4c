package org.godwitwick.core.claim

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.OrganisationId

/** A caller's idempotency key: a UUIDv7 in lower-case text form, which carries its creation time. */
@JvmInline
@Serializable
value class IdempotencyKey private constructor(val value: String) {
    /** Creation time of the key by the caller's clock, in milliseconds since the epoch. */
    val createdAtMs: Long get() = (value.substring(0, 8) + value.substring(9, 13)).toLong(HEX_RADIX)

    /** Whether [value] is a UUIDv7. Must be checked after deserialisation, which does not call [parse]. */
    val isWellFormed: Boolean get() = FORMAT.matches(value)

    override fun toString(): String = value

    companion object {
        private const val HEX_RADIX = 16
        private val FORMAT = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")

        /** Parses [text], or returns null if it is not a UUIDv7. */
        fun parse(text: String): IdempotencyKey? = IdempotencyKey(text.lowercase()).takeIf { it.isWellFormed }
    }
}

/** Identity that a claim is made for. It includes the organisation, so that no organisation can see the outcome of another. */
@Serializable
data class ClaimKey(val organisation: OrganisationId, val service: String, val key: IdempotencyKey)
