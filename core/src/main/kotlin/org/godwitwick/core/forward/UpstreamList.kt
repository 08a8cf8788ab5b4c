package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * Upstreams of a service in an order that all instances agree on: by the hash of their ids. It is sorted once, when registrations
 * change; [without] leaves out some upstreams at a cost that depends on their number only. Immutable.
 */
class UpstreamList private constructor(
    private val all: Array<UpstreamEntry>,
    private val hashes: IntArray,
    private val excluded: IntArray,
) : AbstractList<UpstreamEntry>(),
    RandomAccess {
    override val size: Int get() = all.size - excluded.size

    override fun get(index: Int): UpstreamEntry {
        if (index !in 0..<size) throw IndexOutOfBoundsException("index $index of $size upstreams")
        return all[positionOf(index)]
    }

    // Each excluded position up to the one that is sought moves it by one.
    private fun positionOf(index: Int): Int {
        var low = 0
        var high = excluded.size
        while (low < high) {
            val middle = (low + high) ushr 1
            if (excluded[middle] - middle <= index) low = middle + 1 else high = middle
        }
        return index + low
    }

    /** This list without the processes that have the keys [processKeys], see [UpstreamEntry.processKey]; others are ignored. */
    fun without(processKeys: Collection<String>): UpstreamList =
        if (processKeys.isEmpty()) this else withoutPositions(processKeys.mapNotNull(::positionOfProcess))

    /** This list without the upstreams at [addresses]. All upstreams are looked at. */
    fun withoutAddresses(addresses: Set<String>): UpstreamList =
        if (addresses.isEmpty()) this else withoutPositions(all.indices.filter { all[it].address in addresses })

    /** The upstreams of this list for which [isIncluded] holds. All upstreams are looked at. */
    fun where(isIncluded: (UpstreamEntry) -> Boolean): UpstreamList =
        withoutPositions(all.indices.filterNot { isIncluded(all[it]) })

    /** This list without [entry]. */
    operator fun minus(entry: UpstreamEntry): UpstreamList = without(listOf(entry.processKey))

    private fun withoutPositions(positions: List<Int>): UpstreamList {
        if (positions.isEmpty()) return this
        val merged = excluded.copyOf(excluded.size + positions.size)
        positions.forEachIndexed { i, position -> merged[excluded.size + i] = position }
        merged.sort()
        var count = 0
        for (position in merged) if (count == 0 || merged[count - 1] != position) merged[count++] = position
        return UpstreamList(all, hashes, merged.copyOf(count))
    }

    private fun positionOfProcess(key: String): Int? {
        val hash = key.substringBeforeLast(UpstreamEntry.PROCESS_SEPARATOR).let { hashOf(InstanceId(it)) }
        return positionsOf(hash).firstOrNull { all[it].processKey == key }
    }

    // Different ids may have the same hash.
    private fun positionsOf(hash: Int): IntRange {
        val found = hashes.binarySearch(hash)
        if (found < 0) return IntRange.EMPTY
        var first = found
        var last = found
        while (first > 0 && hashes[first - 1] == hash) first--
        while (last < hashes.lastIndex && hashes[last + 1] == hash) last++
        return first..last
    }

    /** Whether an upstream whose id has the hash [hash] is in this list, or was before some were left out. */
    fun hasHash(hash: Int): Boolean = hashes.binarySearch(hash) >= 0

    /** Whether this list and [other] are of the same ids, apart from those that were left out. */
    fun hasSameIds(other: UpstreamList): Boolean = hashes === other.hashes || hashes.contentEquals(other.hashes)

    companion object {
        /** By hash, then by id. */
        val ORDER: Comparator<UpstreamEntry> = compareBy({ hashOf(it.id) }, { it.id.value })

        /** Hash of [id], the same on all instances. */
        fun hashOf(id: InstanceId): Int = id.value.hashCode()

        /** A list of no upstreams. */
        val EMPTY = of(emptyList())

        /** Creates the list of [entries], which may be in any order. */
        fun of(entries: Collection<UpstreamEntry>): UpstreamList {
            val unsorted = entries.toTypedArray()
            // Registrations are renewed all the time, so the list is sorted by numbers instead of by comparing the entries.
            val keys = LongArray(unsorted.size) { (hashOf(unsorted[it].id).toLong() shl Int.SIZE_BITS) or it.toLong() }
            keys.sort()
            val sorted = Array(keys.size) { unsorted[keys[it].toInt()] }
            for (end in 1..<sorted.size) {
                var position = end
                while (position > 0 && ORDER.compare(sorted[position - 1], sorted[position]) > 0) {
                    sorted[position - 1] = sorted[position].also { sorted[position] = sorted[position - 1] }
                    position--
                }
            }
            return UpstreamList(sorted, IntArray(sorted.size) { hashOf(sorted[it].id) }, IntArray(0))
        }
    }
}
