package org.godwitwick.core.health

import kotlinx.serialization.Serializable

/**
 * What one instance tells another of a trait. Times are ages, because the clocks of instances differ.
 *
 * @property crashAgesMs for each upstream process that crashed with such a request, the time since its crash.
 * @property soundAgeMs time since a request with the trait was last answered, or null if none was.
 */
@Serializable
data class TraitRow(val trait: RequestTrait, val crashAgesMs: Map<String, Long>, val soundAgeMs: Long? = null) {
    /** Time since the last crash; [Long.MAX_VALUE] if there is none. */
    val lastCrashAgeMs: Long get() = crashAgesMs.values.minOrNull() ?: Long.MAX_VALUE

    /** This row [ms] later. */
    fun agedBy(ms: Long): TraitRow =
        copy(crashAgesMs = crashAgesMs.mapValues { it.value + ms }, soundAgeMs = soundAgeMs?.plus(ms))
}

/**
 * Decides which requests are refused because what they have in common crashes upstreams.
 *
 * Answers the fault that different requests, arriving at different instances, crash one upstream after another because of one
 * common part. The requests that were waiting beside them on a crashed upstream are not to blame, and share most of their traits.
 * A trait is therefore quarantined only if [CRASHES_TO_QUARANTINE] upstreams have crashed with it, no request with it was answered
 * since, and no other quarantined trait was present at these crashes. Upstreams that are lost at the same time count once, as such
 * a loss has another cause.
 *
 * The state is a union of observations, so that instances that have received the same rows agree. Not thread safe.
 */
class TraitQuarantine {
    private class Evidence {
        /** Time of the crash of each upstream process. */
        val crashesMs = HashMap<String, Long>()
        var soundAtMs = Long.MIN_VALUE
        var wasQuarantined = false

        val lastAtMs: Long get() = maxOf(soundAtMs, crashesMs.values.maxOrNull() ?: Long.MIN_VALUE)

        fun counted(): Map<String, Long> = crashesMs.filterValues { it > soundAtMs }
    }

    private val evidence = HashMap<RequestTrait, Evidence>()

    /** The traits that are quarantined, as of the last change or call of [expire]. */
    var quarantined: Set<RequestTrait> = emptySet()
        private set

    /** The traits of which a crash is recorded. */
    val suspected: Set<RequestTrait> get() = evidence.keys.toSet()

    /**
     * Records that the process [upstream] crashed with a request that has [traits]. Returns the rows to send to the other
     * instances.
     */
    fun onCrash(upstream: String, traits: Collection<RequestTrait>, nowMs: Long): List<TraitRow> {
        traits.forEach { record(it, upstream, nowMs) }
        update(nowMs)
        return traits.mapNotNull { rowOf(it, nowMs) }
    }

    /** Records that a request with [traits] was answered. Returns the rows that have changed. */
    fun onSound(traits: Collection<RequestTrait>, nowMs: Long): List<TraitRow> {
        val cleared = traits.filter { evidence[it]?.counted()?.isNotEmpty() == true }
        cleared.forEach { evidence.getValue(it).soundAtMs = nowMs }
        if (cleared.isNotEmpty()) update(nowMs)
        return cleared.mapNotNull { rowOf(it, nowMs) }
    }

    /** Adds what another instance observed. */
    fun merge(rows: List<TraitRow>, nowMs: Long) {
        rows.forEach { row ->
            row.crashAgesMs.forEach { (upstream, ageMs) -> record(row.trait, upstream, nowMs - ageMs) }
            val known = evidence[row.trait]
            if (known != null && row.soundAgeMs != null) known.soundAtMs = maxOf(known.soundAtMs, nowMs - row.soundAgeMs)
        }
        update(nowMs)
    }

    /** Forgets what is too old at [nowMs]. */
    fun expire(nowMs: Long) = update(nowMs)

    /** Rows of all traits that are or were quarantined, for instances that may not have received them. */
    fun lastingRows(nowMs: Long): List<TraitRow> =
        evidence.filterValues { it.wasQuarantined }.keys.mapNotNull { rowOf(it, nowMs) }

    /** Number of upstream processes that have crashed with [trait] since a request with it was last answered. */
    fun crashesOf(trait: RequestTrait): Int = evidence[trait]?.counted()?.size ?: 0

    private fun record(trait: RequestTrait, upstream: String, atMs: Long) {
        val crashesMs = evidence.getOrPut(trait) { Evidence() }.crashesMs
        // A delayed message makes a crash look later, never earlier.
        crashesMs.merge(upstream, atMs, ::minOf)
        if (crashesMs.size > MAX_CRASHES_PER_TRAIT) crashesMs.remove(crashesMs.minBy { it.value }.key)
    }

    private fun rowOf(trait: RequestTrait, nowMs: Long): TraitRow? = evidence[trait]?.let { known ->
        val soundAgeMs = known.soundAtMs.takeIf { it != Long.MIN_VALUE }?.let { nowMs - it }
        TraitRow(trait, known.crashesMs.mapValues { nowMs - it.value }, soundAgeMs)
    }

    private fun update(nowMs: Long) {
        forgetOld(nowMs)
        val open = evidence.mapValuesTo(HashMap()) { it.value.counted() }
        val found = HashSet<RequestTrait>()
        while (true) {
            // The trait with most crashes explains them best; of equals, the one that fits fewer requests.
            val (trait, crashes) = open.entries
                .filter { momentsOf(it.value) >= CRASHES_TO_QUARANTINE }
                .minWithOrNull(compareBy({ -it.value.size }, { !it.key.isWholeRequest }, { it.key.value })) ?: break
            found += trait
            open.remove(trait)
            open.entries.forEach { it.setValue(it.value - crashes.keys) }
        }
        found.forEach { evidence.getValue(it).wasQuarantined = true }
        quarantined = found
    }

    private fun forgetOld(nowMs: Long) {
        evidence.values.removeAll { known ->
            nowMs - known.lastAtMs > if (known.wasQuarantined) QUARANTINE_MS else SUSPICION_MS
        }
        val surplus = evidence.size - MAX_TRAITS
        if (surplus <= 0) return
        val byImportance = compareBy<Map.Entry<RequestTrait, Evidence>>({ it.value.counted().size }, { it.value.lastAtMs })
        evidence.entries.sortedWith(byImportance).take(surplus).forEach { evidence.remove(it.key) }
    }

    // Number of crashes that are at least SAME_LOSS_MS apart.
    private fun momentsOf(crashesMs: Map<String, Long>): Int {
        var moments = 0
        var lastMs: Long? = null
        crashesMs.values.sorted().forEach { atMs ->
            if (lastMs.let { it == null || atMs - it >= SAME_LOSS_MS }) {
                moments++
                lastMs = atMs
            }
        }
        return moments
    }

    /** Limits of the quarantine. */
    companion object {
        /** Two crashes may hit the same request by chance when upstreams are lost one after another, such as in a release. */
        const val CRASHES_TO_QUARANTINE = 3

        /** Losses closer together than this count as one; instances learn of a crash within some ten milliseconds. */
        const val SAME_LOSS_MS = 100L

        /** Time after which a crash is no longer held against a trait that is not quarantined. */
        const val SUSPICION_MS = 60_000L

        /** Duration of a quarantine, from the last crash; the same as that of requests in the own path. */
        const val QUARANTINE_MS = SuspicionTable.SUSPICION_MS
        private const val MAX_TRAITS = 512
        private const val MAX_CRASHES_PER_TRAIT = 16
    }
}
