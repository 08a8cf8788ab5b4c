package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId

/** Weight of [id] for the role or object [key]; every instance computes the same one. */
fun rendezvousWeight(key: String, id: InstanceId): ULong = mix(stableHash("$key/${id.value}")).toULong()

/** The [count] lowest weights of [ids] for [key]. */
fun rendezvousLowest(key: String, ids: Collection<InstanceId>, count: Int): List<InstanceId> =
    ids.sortedWith(compareBy({ rendezvousWeight(key, it) }, { it.value })).take(count)

/** The highest weight of [ids] for [key], or null when there are none. */
fun rendezvousHighest(key: String, ids: Collection<InstanceId>): InstanceId? =
    ids.maxWithOrNull(compareBy({ rendezvousWeight(key, it) }, { it.value }))

/** 64-bit FNV-1a hash of [text]. */
fun stableHash(text: String): Long {
    var hash = FNV_OFFSET
    for (byte in text.encodeToByteArray()) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
    return hash
}

// FNV spreads differences in the last bytes poorly into the high bits, which decide the order; this finaliser is SplitMix64's.
private fun mix(hash: Long): Long {
    var z = hash
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val BYTE_MASK = 0xffL
