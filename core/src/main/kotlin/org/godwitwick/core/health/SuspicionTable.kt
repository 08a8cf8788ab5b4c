package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId

/** Assessment of whether a request causes engines to die. */
enum class SuspicionVerdict {
    /** No engine death counts against the request. */
    CLEAR,

    /** The request was in flight on one engine that died. */
    SUSPECT,

    /**
     * The request was apparently the only one on an engine that died less than [SuspicionTable.PEER_REPORT_WAIT_MS] ago; peers
     * may still report others that ran there.
     */
    PENDING,

    /** The request was in flight on two engines that died, or was the only request on one that died. */
    QUARANTINED,
}

/**
 * Engine deaths attributed to requests, as recorded by this instance and its peers. Not thread safe.
 *
 * Verdicts are computed from the recorded deaths on each call. If a death later turns out to be part of a correlated loss, or to
 * be shared with another request, the verdict changes without any stored verdict to correct.
 *
 * @param self this instance, which is the reporter of its own rows.
 * @param firstVersion version of the first own row; must be higher than the versions used by earlier incarnations of the
 *   instance.
 */
class SuspicionTable(private val self: InstanceId, firstVersion: Long = 1) {
    private val rows = HashMap<Fingerprint, HashMap<InstanceId, SuspicionRow>>()
    private val deaths = ArrayList<EngineDeath>()
    private var nextVersion = firstVersion

    /**
     * Records [death] for the requests [inFlight] on the engine and returns the own rows to push to peers.
     *
     * @param isAlone whether the engine ran only one request.
     */
    fun onDeath(death: EngineDeath, inFlight: Set<Fingerprint>, isAlone: Boolean, nowMs: Long): List<SuspicionRow> {
        expire(nowMs)
        addDeath(death)
        val changed = inFlight.map { fingerprint ->
            val row = own(fingerprint)
            val isKnown = row.deaths.any { it.isSame(death) }
            val aloneOn = if (isAlone && inFlight.size == 1) row.aloneOn + keyOf(death) else row.aloneOn - keyOf(death)
            store(row.copy(deaths = if (isKnown) row.deaths else row.deaths + death, aloneOn = aloneOn.distinct(), runsOn = null))
        }
        val withdrawn = withdrawCorrelated()
        return changed.filter { row -> withdrawn.none { it.fingerprint == row.fingerprint } } + withdrawn
    }

    /** Returns the verdict on [fingerprint] at [nowMs]. */
    fun verdict(fingerprint: Fingerprint, nowMs: Long): SuspicionVerdict {
        expire(nowMs)
        val reports = rows[fingerprint]?.values ?: return SuspicionVerdict.CLEAR
        val clearedAtMs = reports.maxOf { it.clearedAtMs }
        val counted = reports.flatMap { it.deaths }.filter { it.atMs > clearedAtMs && !isCorrelated(it) }.distinctBy(::keyOf)
        val aloneOn = reports.flatMap { it.aloneOn }.toSet()
        return when {
            counted.isEmpty() -> SuspicionVerdict.CLEAR
            counted.size >= DEATHS_TO_QUARANTINE -> SuspicionVerdict.QUARANTINED
            counted.none { keyOf(it) in aloneOn && !isShared(it) } -> SuspicionVerdict.SUSPECT
            nowMs - counted.single().atMs < PEER_REPORT_WAIT_MS -> SuspicionVerdict.PENDING
            else -> SuspicionVerdict.QUARANTINED
        }
    }

    /** Returns the engines on which suspects other than [fingerprint] run. */
    fun enginesOfOtherSuspects(fingerprint: Fingerprint): Set<InstanceId> =
        rows.filterKeys { it != fingerprint }.values.flatMap { it.values }.mapNotNull { it.runsOn }.toSet()

    /** Records that the suspect [fingerprint] runs on [engine], or on none if null. Returns the row to push to peers. */
    fun place(fingerprint: Fingerprint, engine: InstanceId?): SuspicionRow = store(own(fingerprint).copy(runsOn = engine))

    /**
     * Returns whether the placement of [fingerprint] on [engine] must yield to another suspect on the same engine or to an equal
     * request that a peer runs. Of concurrent placements the one with the smaller fingerprint stays; if the fingerprints are
     * equal, the one with the smaller reporter id.
     */
    fun mustYield(fingerprint: Fingerprint, engine: InstanceId): Boolean {
        val isEngineTaken = rows.any { (other, reports) ->
            other.value < fingerprint.value && reports.values.any { it.runsOn == engine }
        }
        val isEqualRequestPlaced = rows[fingerprint].orEmpty().values.any { it.reporter.value < self.value && it.runsOn != null }
        return isEngineTaken || isEqualRequestPlaced
    }

    /** Records the success of [fingerprint]. Returns the row to push to peers, or null if no instance has a row for it. */
    fun onSuccess(fingerprint: Fingerprint, nowMs: Long): SuspicionRow? {
        if (fingerprint !in rows) return null
        return store(own(fingerprint).copy(deaths = emptyList(), aloneOn = emptyList(), runsOn = null, clearedAtMs = nowMs))
    }

    /** Merges [row] from a peer, unless a row of the same version or higher is already stored. */
    fun merge(row: SuspicionRow) {
        if (row.reporter == self) return
        row.deaths.forEach(::addDeath)
        val reports = rows.getOrPut(row.fingerprint) { HashMap() }
        if ((reports[row.reporter]?.version ?: 0) < row.version) reports[row.reporter] = row
    }

    /**
     * Records a death that affected no request of this instance. Returns the own rows that changed because it completes a
     * correlated loss.
     */
    fun onOtherDeath(death: EngineDeath): List<SuspicionRow> {
        addDeath(death)
        return withdrawCorrelated()
    }

    /** Returns all own rows, for a peer that joins. */
    fun ownRows(): List<SuspicionRow> = rows.values.mapNotNull { it[self] }

    private fun addDeath(death: EngineDeath) {
        if (deaths.none { it.isSame(death) }) deaths += death
    }

    private fun own(fingerprint: Fingerprint): SuspicionRow =
        rows[fingerprint]?.get(self) ?: SuspicionRow(self, fingerprint, version = 0)

    private fun store(row: SuspicionRow): SuspicionRow {
        val next = row.copy(version = nextVersion++)
        rows.getOrPut(row.fingerprint) { HashMap() }[self] = next
        return next
    }

    // Removes the deaths of a correlated loss from own rows that were pushed before the loss was recognised; the result is pushed
    // again (section 5.7).
    private fun withdrawCorrelated(): List<SuspicionRow> = ownRows().filter { row -> row.deaths.any(::isCorrelated) }
        .map { row -> store(row.copy(deaths = row.deaths.filterNot(::isCorrelated))) }

    private fun isShared(death: EngineDeath): Boolean =
        rows.values.count { reports -> reports.values.any { row -> row.deaths.any { it.isSame(death) } } } > 1

    private fun isCorrelated(death: EngineDeath): Boolean {
        val inDataCentre = deaths.filter { it.dataCentre == death.dataCentre }
        val inRack = inDataCentre.filter { it.rack.isNotEmpty() && it.rack == death.rack }
        return isBurst(inDataCentre, death) || isBurst(inRack, death)
    }

    // Whether the candidates include three engines that died within 10 s, this death among them.
    private fun isBurst(candidates: List<EngineDeath>, death: EngineDeath): Boolean = candidates.any { first ->
        val burst = candidates.filter { it.atMs - first.atMs in 0..CORRELATION_MS }
        burst.any { it.isSame(death) } && burst.distinctBy { it.engine }.size >= CORRELATED_ENGINES
    }

    private fun expire(nowMs: Long) {
        deaths.removeAll { nowMs - it.atMs > SUSPICION_MS }
        rows.values.forEach { reports ->
            reports.entries.removeAll { (_, row) ->
                row.runsOn == null && row.deaths.all { nowMs - it.atMs > SUSPICION_MS } && nowMs - row.clearedAtMs > SUSPICION_MS
            }
        }
        rows.entries.removeAll { it.value.isEmpty() }
    }

    private fun keyOf(death: EngineDeath): String = "${death.engine}/${death.incarnation}"

    /** Limits from section 5.7. */
    companion object {
        /** Time after which a suspicion expires. */
        const val SUSPICION_MS = 600_000L

        /** Time span within which deaths in a rack or data centre count as one correlated loss. */
        const val CORRELATION_MS = 10_000L

        /**
         * Number of engines that must die within [CORRELATION_MS] to count as a correlated loss, which is not attributed to
         * requests.
         */
        const val CORRELATED_ENGINES = 3

        /**
         * Time to wait for the rows of peers about the same death: their probe of the engine takes up to 500 ms. Without the
         * wait, the only request of one instance on an engine would be mistaken for the only one of all instances.
         */
        const val PEER_REPORT_WAIT_MS = 1_000L
        private const val DEATHS_TO_QUARANTINE = 2
    }
}
