package org.godwitwick.core.forward

/**
 * The data centres that the operators have evacuated, from the records of the store.
 *
 * Answers the load pattern in which a whole data centre leaves and returns at once, several of them at the same time, while the store
 * may return from an older copy that lacks the evacuation. An evacuation that such a copy lacks stays in force until a record of its
 * data centre says otherwise, or until [confirmMs] after a newer configuration, which shows that the operators use the returned store.
 * The operators have that time to write the evacuation again. Not thread safe.
 *
 * @param confirmMs time after a newer configuration within which the operators repeat an evacuation that the store has lost.
 */
class Evacuations(private val confirmMs: Long) {
    /** [isConfirmed] tells whether the record is known to be in the present era of the store. */
    private class Evacuation(var isConfirmed: Boolean, var endsAtMs: Long = Long.MAX_VALUE)

    private val evacuations = HashMap<String, Evacuation>()
    private val ended = HashSet<String>()
    private var latestEra: Long? = null
    private var latestOffset = 0L

    /** The evacuated data centres. */
    val dataCentres: Set<String> get() = evacuations.keys.toSet()

    /** Whether evacuations have ended since the last call of [takeEnded]. */
    val hasEnded: Boolean get() = ended.isNotEmpty()

    /** Returns the data centres whose evacuation has ended since the last call. */
    fun takeEnded(): Set<String> = if (ended.isEmpty()) emptySet() else ended.toSet().also { ended.clear() }

    /** Applies [record], in the order of the store. */
    fun onRecord(record: OperatorRecord.Evacuation) {
        if (record.isWithdrawn) end { it == record.dataCentre } else confirm(record.dataCentre)
    }

    /**
     * Records that [present] were all evacuations at [offset] in [era] of the store. An earlier state than the one known, which a
     * different reader may have, withdraws nothing.
     */
    fun onSnapshot(present: Set<String>, era: Long, offset: Long) {
        val known = latestEra
        if (known != null && era > known) evacuations.values.forEach { it.isConfirmed = false }
        val isCurrent = known == null || era > known || (era == known && offset >= latestOffset)
        if (isCurrent) end { it !in present && evacuations.getValue(it).isConfirmed }
        present.forEach(::confirm)
        onPosition(era, offset)
    }

    /** Records that all records up to [offset] in [era] of the store are known. */
    fun onPosition(era: Long, offset: Long) {
        val known = latestEra
        if (known != null && (era < known || (era == known && offset < latestOffset))) return
        latestEra = era
        latestOffset = offset
    }

    /** Records at [nowMs] that a newer configuration is in force. */
    fun onNewerConfiguration(nowMs: Long) = evacuations.values.forEach {
        if (!it.isConfirmed) it.endsAtMs = minOf(it.endsAtMs, nowMs + confirmMs)
    }

    /** Ends at [nowMs] the evacuations that the operators have not repeated. */
    fun expire(nowMs: Long) = end { evacuations.getValue(it).endsAtMs <= nowMs }

    private fun end(isEnded: (String) -> Boolean) {
        val ending = evacuations.keys.filter(isEnded)
        evacuations.keys.removeAll(ending.toSet())
        ended += ending
    }

    private fun confirm(dataCentre: String) {
        evacuations[dataCentre] = Evacuation(isConfirmed = true)
    }
}
