package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId

/**
 * Assigns keys to shards and shards to owners.
 *
 * @property count number of shards per service. It must be equal on all instances, because with another count a key maps to
 * another stream and its claim is not found.
 */
data class ClaimShards(val count: Int = DEFAULT_COUNT) {
    /** Returns the log stream for the claims of [key]. */
    fun streamOf(key: ClaimKey): String = streamOf(
        key.service,
        java.lang.Long.remainderUnsigned(hash("${key.organisation}\n${key.service}\n${key.key}"), count.toLong()).toInt(),
    )

    /** Returns the log stream of shard [shard] of [service]. */
    fun streamOf(service: String, shard: Int): String = "claims-$service-$shard"

    /** Returns the owner of [stream], the candidate with the highest rendezvous hash, or null if there are no candidates. */
    fun ownerOf(stream: String, candidates: Collection<InstanceId>): InstanceId? =
        candidates.maxWithOrNull(compareBy<InstanceId> { hash("$stream\n$it").toULong() }.thenBy { it.value })

    // FNV-1a with the 64-bit finalizer of MurmurHash3. It must not change between versions, or keys would map to other streams.
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
