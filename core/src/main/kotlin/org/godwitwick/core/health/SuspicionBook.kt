package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId

/** What is known against a request. */
enum class SuspicionVerdict {
    CLEAR,

    /** In flight on one engine that died. */
    SUSPECT,

    /** In flight on one engine that died a moment ago, alone as far as is known: peers may still tell of others on it. */
    UNSETTLED,

    /** In flight on two engines that died, or the only request on one. */
    QUARANTINED,
}

/**
 * The suspicions that one instance knows, its own and those of its peers.
 *
 * A verdict is computed from the deaths each time, so a death that turns out to be part of a correlated loss, or that another
 * request shares, changes the verdict without a correction of stored state. Not thread safe.
 *
 * @param firstVersion version of the first own row; a later incarnation of the instance must start higher than an earlier one ended.
 */
class SuspicionBook(private val self: InstanceId, firstVersion: Long = 1) {
    private val rows = HashMap<Fingerprint, HashMap<InstanceId, SuspicionRow>>()
    private val deaths = ArrayList<EngineDeath>()
    private var nextVersion = firstVersion

    /** Records [death] for the requests in flight; returns the own rows to push. [isAlone] says that the engine ran one request. */
    fun onDeath(death: EngineDeath, inFlight: Set<Fingerprint>, isAlone: Boolean, nowMs: Long): List<SuspicionRow> {
        expire(nowMs)
        note(death)
        val changed = inFlight.map { fingerprint ->
            val row = own(fingerprint)
            val known = row.deaths.any { it.isSame(death) }
            val aloneOn = if (isAlone && inFlight.size == 1) row.aloneOn + keyOf(death) else row.aloneOn - keyOf(death)
            put(row.copy(deaths = if (known) row.deaths else row.deaths + death, aloneOn = aloneOn.distinct(), runsOn = null))
        }
        val withdrawn = withdrawCorrelated()
        return changed.filter { row -> withdrawn.none { it.fingerprint == row.fingerprint } } + withdrawn
    }

    /** The verdict on [fingerprint]. */
    fun verdict(fingerprint: Fingerprint, nowMs: Long): SuspicionVerdict {
        expire(nowMs)
        val known = rows[fingerprint]?.values ?: return SuspicionVerdict.CLEAR
        val clearedAtMs = known.maxOf { it.clearedAtMs }
        val counted = known.flatMap { it.deaths }.filter { it.atMs > clearedAtMs && !isCorrelated(it) }.distinctBy(::keyOf)
        val aloneOn = known.flatMap { it.aloneOn }.toSet()
        return when {
            counted.isEmpty() -> SuspicionVerdict.CLEAR
            counted.size >= DEATHS_TO_QUARANTINE -> SuspicionVerdict.QUARANTINED
            counted.none { keyOf(it) in aloneOn && !isShared(it) } -> SuspicionVerdict.SUSPECT
            nowMs - counted.single().atMs < SETTLE_MS -> SuspicionVerdict.UNSETTLED
            else -> SuspicionVerdict.QUARANTINED
        }
    }

    /** Engines on which another suspect than [fingerprint] runs. */
    fun enginesOfOtherSuspects(fingerprint: Fingerprint): Set<InstanceId> =
        rows.filterKeys { it != fingerprint }.values.flatMap { it.values }.mapNotNull { it.runsOn }.toSet()

    /** Records that the suspect [fingerprint] runs on [engine], or on none; returns the row to push. */
    fun place(fingerprint: Fingerprint, engine: InstanceId?): SuspicionRow = put(own(fingerprint).copy(runsOn = engine))

    /**
     * Whether the placement of [fingerprint] on [engine] has to give way: to another suspect on the engine, or to an equal request
     * that a peer runs. Of two placements at once the smaller fingerprint stays, of equal ones the smaller reporter's.
     */
    fun losesPlace(fingerprint: Fingerprint, engine: InstanceId): Boolean {
        val isEngineTaken = rows.any { (other, known) ->
            other.value < fingerprint.value && known.values.any { it.runsOn == engine }
        }
        val isEqualPlaced = rows[fingerprint].orEmpty().values.any { it.reporter.value < self.value && it.runsOn != null }
        return isEngineTaken || isEqualPlaced
    }

    /** Records the success of [fingerprint]; returns the row to push, or null when nothing was known against it. */
    fun onSuccess(fingerprint: Fingerprint, nowMs: Long): SuspicionRow? {
        if (fingerprint !in rows) return null
        return put(own(fingerprint).copy(deaths = emptyList(), aloneOn = emptyList(), runsOn = null, clearedAtMs = nowMs))
    }

    /** Takes over a peer's [row]. */
    fun merge(row: SuspicionRow) {
        if (row.reporter == self) return
        row.deaths.forEach(::note)
        val known = rows.getOrPut(row.fingerprint) { HashMap() }
        if ((known[row.reporter]?.version ?: 0) < row.version) known[row.reporter] = row
    }

    /** Takes over a death that no request of this instance was in flight for; returns own rows that are withdrawn. */
    fun onOtherDeath(death: EngineDeath): List<SuspicionRow> {
        note(death)
        return withdrawCorrelated()
    }

    /** All own rows, for a peer that joins. */
    fun ownRows(): List<SuspicionRow> = rows.values.mapNotNull { it[self] }

    private fun note(death: EngineDeath) {
        if (deaths.none { it.isSame(death) }) deaths += death
    }

    private fun own(fingerprint: Fingerprint): SuspicionRow =
        rows[fingerprint]?.get(self) ?: SuspicionRow(self, fingerprint, version = 0)

    private fun put(row: SuspicionRow): SuspicionRow {
        val next = row.copy(version = nextVersion++)
        rows.getOrPut(row.fingerprint) { HashMap() }[self] = next
        return next
    }

    // The second push of section 5.7: rows that went out before the loss was recognised lose its deaths.
    private fun withdrawCorrelated(): List<SuspicionRow> = ownRows().filter { row -> row.deaths.any(::isCorrelated) }
        .map { row -> put(row.copy(deaths = row.deaths.filterNot(::isCorrelated))) }

    private fun isShared(death: EngineDeath): Boolean =
        rows.values.count { known -> known.values.any { row -> row.deaths.any { it.isSame(death) } } } > 1

    private fun isCorrelated(death: EngineDeath): Boolean {
        val near = deaths.filter { it.dataCentre == death.dataCentre }
        val inRack = near.filter { it.rack.isNotEmpty() && it.rack == death.rack }
        return isBurst(near, death) || isBurst(inRack, death)
    }

    // Three engines within 10 s, this death among them.
    private fun isBurst(candidates: List<EngineDeath>, death: EngineDeath): Boolean = candidates.any { first ->
        val burst = candidates.filter { it.atMs - first.atMs in 0..CORRELATION_MS }
        burst.any { it.isSame(death) } && burst.distinctBy { it.engine }.size >= CORRELATED_ENGINES
    }

    private fun expire(nowMs: Long) {
        deaths.removeAll { nowMs - it.atMs > SUSPICION_MS }
        rows.values.forEach { known ->
            known.entries.removeAll { (_, row) ->
                row.runsOn == null && row.deaths.all { nowMs - it.atMs > SUSPICION_MS } && nowMs - row.clearedAtMs > SUSPICION_MS
            }
        }
        rows.entries.removeAll { it.value.isEmpty() }
    }

    private fun keyOf(death: EngineDeath): String = "${death.engine}/${death.incarnation}"

    /** Constants of section 5.7. */
    companion object {
        /** Age at which a suspicion ends. */
        const val SUSPICION_MS = 600_000L

        /** Time within which deaths of a rack or data centre count as one loss. */
        const val CORRELATION_MS = 10_000L

        /** Engines whose death within [CORRELATION_MS] is a loss that no request caused. */
        const val CORRELATED_ENGINES = 3

        /**
         * Time in which the rows of peers about the same death arrive: their probe of the engine takes up to 500 ms. Without the wait
         * the only request of one instance on an engine would be taken for the only one of all instances.
         */
        const val SETTLE_MS = 1_000L
        private const val DEATHS_TO_QUARANTINE = 2
    }
}
