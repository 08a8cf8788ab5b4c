package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId

/** Rendezvous-hashing weight of [id] for the role or object [key]; identical on every instance. */
fun rendezvousWeight(key: String, id: InstanceId): ULong = mix(stableHash("$key/${id.value}")).toULong()

/** Returns the [count] members of [ids] with the lowest weights for [key]. */
fun rendezvousLowest(key: String, ids: Collection<InstanceId>, count: Int): List<InstanceId> =
    ids.sortedWith(compareBy({ rendezvousWeight(key, it) }, { it.value })).take(count)

/** Returns the member of [ids] with the highest weight for [key], or null if [ids] is empty. */
fun rendezvousHighest(key: String, ids: Collection<InstanceId>): InstanceId? =
    ids.maxWithOrNull(compareBy({ rendezvousWeight(key, it) }, { it.value }))

/** 64-bit FNV-1a hash of [text]. */
fun stableHash(text: String): Long {
    var hash = FNV_OFFSET
    for (byte in text.encodeToByteArray()) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
    return hash
}

// The SplitMix64 finaliser. FNV alone propagates differences in the last bytes poorly into the high bits, which determine the
// order.
private fun mix(hash: Long): Long {
    var z = hash
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val BYTE_MASK = 0xffL
