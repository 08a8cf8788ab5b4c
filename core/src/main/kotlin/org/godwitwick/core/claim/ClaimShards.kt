package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId

/**
 * Assigns keys to shards and shards to owners.
 *
 * @property count shards of each service. It must be equal on every instance: with another count a key maps to another stream, where
 * its claim is not seen.
 */
data class ClaimShards(val count: Int = DEFAULT_COUNT) {
    /** Log stream that holds the claims of [key]. */
    fun streamOf(key: ClaimKey): String = streamOf(
        key.service,
        java.lang.Long.remainderUnsigned(hash("${key.organisation}\n${key.service}\n${key.key}"), count.toLong()).toInt(),
    )

    /** Log stream of shard [shard] of [service]. */
    fun streamOf(service: String, shard: Int): String = "claims-$service-$shard"

    /** Owner of [stream]: the candidate with the highest rendezvous hash, or null when there are none. */
    fun ownerOf(stream: String, candidates: Collection<InstanceId>): InstanceId? =
        candidates.maxWithOrNull(compareBy<InstanceId> { hash("$stream\n$it").toULong() }.thenBy { it.value })

    // FNV-1a with the 64-bit finalizer of MurmurHash3; it must not change between versions.
    private fun hash(text: String): Long {
        var hash = FNV_OFFSET
        for (byte in text.encodeToByteArray()) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_1
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_2
        return hash xor (hash ushr MIX_SHIFT)
    }

    private companion object {
        const val DEFAULT_COUNT = 32
        const val BYTE_MASK = 0xffL
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
        const val MIX_SHIFT = 33
        const val MIX_1 = -0xae502812aa7333L
        const val MIX_2 = -0x3b314601e57a13adL
    }
}
