package org.godwitwick.core.membership

/** What one instance holds, as hashes of keys and versions in the same order. */
class RowDigest(val keyHashes: LongArray, val versions: LongArray)

/** What a digest's receiver owes and wants. */
class DigestAnswer(val rows: List<VersionedRow>, val wantedHashes: LongArray)

/** The rows of one instance. Merging keeps the highest version of each key, so order, loss and repetition don't matter. */
class RowTable {
    private val rows = LinkedHashMap<Long, VersionedRow>()

    /** Takes [row] unless an equal or higher version is held or it is too old; returns whether it was taken. */
    fun merge(row: VersionedRow, nowMs: Long): Boolean {
        if (row.ageMs(nowMs) > row.key.topic.maxAgeMs) return false
        val held = rows[row.key.hash]
        if (held != null && held.version >= row.version) return false
        rows[row.key.hash] = row
        return true
    }

    /** Rows of [topic]. */
    fun ofTopic(topic: RowTopic): List<VersionedRow> = rows.values.filter { it.key.topic == topic }

    /** Digest of the rows that travel as far as [reach]. */
    fun digest(reach: RowReach): RowDigest {
        val reaching = rows.values.filter { it.reaches(reach) }
        return RowDigest(
            LongArray(reaching.size) { reaching[it].key.hash },
            LongArray(reaching.size) { reaching[it].version },
        )
    }

    /** Rows that the sender of [digest] lacks or holds in a lower version, and hashes of those that it holds in a higher one. */
    fun answer(digest: RowDigest, reach: RowReach): DigestAnswer {
        val theirs = HashMap<Long, Long>(digest.keyHashes.size * 2)
        digest.keyHashes.forEachIndexed { i, hash -> theirs[hash] = digest.versions[i] }
        val owed = rows.values.filter { it.reaches(reach) && it.version > (theirs[it.key.hash] ?: Long.MIN_VALUE) }
        val wanted = digest.keyHashes.filter { hash -> (rows[hash]?.version ?: Long.MIN_VALUE) < theirs.getValue(hash) }
        return DigestAnswer(owed, wanted.toLongArray())
    }

    /** The held rows with the given key hashes. */
    fun ofHashes(hashes: LongArray): List<VersionedRow> = hashes.toList().mapNotNull { rows[it] }

    /** Drops the rows that are too old at [nowMs]. */
    fun expire(nowMs: Long) {
        rows.values.removeIf { it.ageMs(nowMs) > it.key.topic.maxAgeMs }
    }

    private fun VersionedRow.reaches(reach: RowReach) = reach == RowReach.DATA_CENTRE || key.topic.reach == RowReach.FLEET
}
