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
    private var latestEra: Long? = null
    private var latestOffset = 0L

    /** The evacuated data centres. */
    val dataCentres: Set<String> get() = evacuations.keys.toSet()

    /** Records that [dataCentre] is evacuated, or that its evacuation is withdrawn. */
    fun onRecord(record: OperatorRecord.Evacuation) {
        if (record.isWithdrawn) evacuations.remove(record.dataCentre) else confirm(record.dataCentre)
    }

    /**
     * Records that [present] were all evacuations at [offset] in [era] of the store. An earlier state than the one known, which a
     * different reader may have, withdraws nothing.
     */
    fun onSnapshot(present: Set<String>, era: Long, offset: Long) {
        val known = latestEra
        if (known != null && era > known) evacuations.values.forEach { it.isConfirmed = false }
        val isCurrent = known == null || era > known || (era == known && offset >= latestOffset)
        if (isCurrent) {
            evacuations.entries.removeAll { (dataCentre, evacuation) ->
                evacuation.isConfirmed &&
                    dataCentre !in present
            }
        }
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

    /** Ends at [nowMs] the evacuations that the operators have not repeated; returns whether there are any. */
    fun expire(nowMs: Long): Boolean = evacuations.values.removeAll { it.endsAtMs <= nowMs }

    private fun confirm(dataCentre: String) {
        evacuations[dataCentre] = Evacuation(isConfirmed = true)
    }
}
