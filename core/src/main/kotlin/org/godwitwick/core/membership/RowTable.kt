package org.godwitwick.core.membership

/** Summary of the rows of an instance: key hashes and, in the same order, versions. */
class RowDigest(val keyHashes: LongArray, val versions: LongArray)

/** Response to a digest: the [rows] missing at the digest's sender, and the key hashes of the rows requested from it. */
class DigestAnswer(val rows: List<VersionedRow>, val requestedHashes: LongArray)

/** The rows of an instance. Merging keeps the highest version of each key, so messages may be reordered, lost or repeated. */
class RowTable {
    private val rows = LinkedHashMap<Long, VersionedRow>()

    /**
     * Stores [row] unless it exceeds the maximum age of its topic or an equal or higher version is stored already. Returns
     * whether it was stored.
     */
    fun merge(row: VersionedRow, nowMs: Long): Boolean {
        if (row.ageMs(nowMs) > row.key.topic.maxAgeMs) return false
        val stored = rows[row.key.hash]
        if (stored != null && stored.version >= row.version) return false
        rows[row.key.hash] = row
        return true
    }

    /** Returns the rows of [topic]. */
    fun ofTopic(topic: RowTopic): List<VersionedRow> = rows.values.filter { it.key.topic == topic }

    /** Returns the digest of the rows that are distributed within [reach]. */
    fun digest(reach: RowReach): RowDigest {
        val included = rows.values.filter { it.reaches(reach) }
        return RowDigest(
            LongArray(included.size) { included[it].key.hash },
            LongArray(included.size) { included[it].version },
        )
    }

    /** Returns the rows that [digest] lacks or has in a lower version, and the hashes of those that it has in a higher version. */
    fun answer(digest: RowDigest, reach: RowReach): DigestAnswer {
        val senderVersions = HashMap<Long, Long>(digest.keyHashes.size * 2)
        digest.keyHashes.forEachIndexed { i, hash -> senderVersions[hash] = digest.versions[i] }
        val missing = rows.values.filter { it.reaches(reach) && it.version > (senderVersions[it.key.hash] ?: Long.MIN_VALUE) }
        val wanted = digest.keyHashes.filter { hash -> (rows[hash]?.version ?: Long.MIN_VALUE) < senderVersions.getValue(hash) }
        return DigestAnswer(missing, wanted.toLongArray())
    }

    /** Returns the stored rows with the given key hashes. */
    fun ofHashes(hashes: LongArray): List<VersionedRow> = hashes.toList().mapNotNull { rows[it] }

    /** Removes the rows whose age at [nowMs] exceeds the maximum age of their topic. */
    fun expire(nowMs: Long) {
        rows.values.removeIf { it.ageMs(nowMs) > it.key.topic.maxAgeMs }
    }

    private fun VersionedRow.reaches(reach: RowReach) = reach == RowReach.DATA_CENTRE || key.topic.reach == RowReach.FLEET
}
