package org.godwitwick.core.placement

import org.godwitwick.core.model.PromptClass

/**
 * Work sent to a replica.
 *
 * @property atMs time of dispatch.
 * @property prefillTokens prompt tokens to compute.
 * @property kvTokens KV memory that the work may need.
 * @property requests number of requests that the work was summed from.
 */
data class SentWork(
    val atMs: Long,
    val promptClass: PromptClass,
    val prefillTokens: Long,
    val kvTokens: Long,
    val requests: Int = 1,
)

/**
 * Load of one replica from the view of this instance: the last report and the work sent since then by this instance and its
 * peers. Immutable, so traffic threads can read it while another thread replaces it.
 *
 * @property sent work sent after the report, sorted by time.
 * @property waitingTokens prefill tokens of requests of this instance that have no first token yet.
 * @property outstanding number of requests of this instance that have not ended.
 */
data class ReplicaLoad(
    val report: LoadReport? = null,
    val sent: List<SentWork> = emptyList(),
    val waitingTokens: Long = 0,
    val outstanding: Int = 0,
) {
    /**
     * Returns the load with [newer] as its report and without the work sent before it. A report of the same incarnation that is
     * not newer than the current one is ignored.
     */
    fun withReport(newer: LoadReport): ReplicaLoad {
        if (report != null && report.incarnation == newer.incarnation && newer.atMs <= report.atMs) return this
        return copy(report = newer, sent = sent.filter { it.atMs > newer.atMs })
    }

    /** Returns the load after this instance dispatched [work]. */
    fun withDispatch(work: SentWork): ReplicaLoad =
        withSent(work).copy(waitingTokens = waitingTokens + work.prefillTokens, outstanding = outstanding + 1)

    /** Returns the load with [work] added, unless the report already covers it. Called directly for the work of peers. */
    fun withSent(work: SentWork): ReplicaLoad {
        if (report != null && work.atMs <= report.atMs) return this
        val kept = sent.filter { it.atMs > work.atMs - MAX_SENT_AGE_MS }.takeLast(MAX_SENT - 1)
        return copy(sent = (kept + work).sortedBy { it.atMs })
    }

    /** Returns the load after a request with [prefillTokens] produced its first token or ended without one. */
    fun withFirstToken(prefillTokens: Long): ReplicaLoad = copy(waitingTokens = (waitingTokens - prefillTokens).coerceAtLeast(0))

    /** Returns the load after a request of this instance ended. */
    fun withEnded(): ReplicaLoad = copy(outstanding = (outstanding - 1).coerceAtLeast(0))

    /**
     * Returns the estimated backlog of prefill tokens at [nowMs], by priority in the order of [PromptClass]. The reported queue
     * is drained at [tokensPerSecond], highest priority first, and each piece of sent work is added at its time of dispatch.
     */
    fun backlogAt(nowMs: Long, tokensPerSecond: Double): DoubleArray {
        val backlog = DoubleArray(PromptClass.entries.size) { report?.queuedPrefillTokens?.getOrNull(it)?.toDouble() ?: 0.0 }
        var atMs = report?.atMs ?: sent.firstOrNull()?.atMs ?: nowMs
        for (work in sent) {
            if (work.atMs > atMs) {
                drain(backlog, (work.atMs - atMs) * tokensPerSecond / MS_PER_SECOND)
                atMs = work.atMs
            }
            backlog[work.promptClass.ordinal] += work.prefillTokens.toDouble()
        }
        if (nowMs > atMs) drain(backlog, (nowMs - atMs) * tokensPerSecond / MS_PER_SECOND)
        return backlog
    }

    /** Returns the estimated free KV memory in tokens, the reported value minus the work sent since, or null without a report. */
    fun freeKvTokens(): Long? = report?.let { it.freeKvTokens - sent.sumOf { work -> work.kvTokens } }

    private fun drain(backlog: DoubleArray, tokens: Double) {
        var left = tokens
        for (i in backlog.indices) {
            val done = minOf(left, backlog[i])
            backlog[i] -= done
            left -= done
        }
    }

    companion object {
        /**
         * Largest number of [sent] entries; bounds memory and decision time while no report arrives. At one report per second far
         * fewer are kept.
         */
        const val MAX_SENT = 64

        /** Age above which sent work is dropped: it has been done or is still counted in [waitingTokens]. */
        const val MAX_SENT_AGE_MS = 10_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
