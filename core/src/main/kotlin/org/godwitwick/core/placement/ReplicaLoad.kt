package org.godwitwick.core.placement

import org.godwitwick.core.model.PromptClass

/** Prefill work sent to a replica at [atMs]; [requests] is the number of requests it stands for. */
data class SentWork(
    val atMs: Long,
    val promptClass: PromptClass,
    val prefillTokens: Long,
    val kvTokens: Long,
    val requests: Int = 1,
)

/**
 * Load of one replica as one instance sees it: the last report and everything sent since, by this instance and by peers.
 * Immutable, so a traffic thread can read it while another replaces it.
 *
 * @property sent work sent after the report, in order of time.
 * @property waitingTokens prefill that this instance sent and whose first token has not come.
 * @property outstanding requests of this instance that have not ended.
 */
data class ReplicaLoad(
    val report: LoadReport? = null,
    val sent: List<SentWork> = emptyList(),
    val waitingTokens: Long = 0,
    val outstanding: Int = 0,
) {
    /** The load after [newer] was received. A report that is older than the present one changes nothing. */
    fun withReport(newer: LoadReport): ReplicaLoad {
        if (report != null && report.incarnation == newer.incarnation && newer.atMs <= report.atMs) return this
        return copy(report = newer, sent = sent.filter { it.atMs > newer.atMs })
    }

    /** The load after this instance dispatched [work]. */
    fun withDispatch(work: SentWork): ReplicaLoad =
        withSent(work).copy(waitingTokens = waitingTokens + work.prefillTokens, outstanding = outstanding + 1)

    /** The load after a peer's row told of [work]. */
    fun withSent(work: SentWork): ReplicaLoad {
        if (report != null && work.atMs <= report.atMs) return this
        val kept = sent.filter { it.atMs > work.atMs - MAX_SENT_AGE_MS }.takeLast(MAX_SENT - 1)
        return copy(sent = (kept + work).sortedBy { it.atMs })
    }

    /** The load after a request with [prefillTokens] gave its first token, or ended without one. */
    fun withStarted(prefillTokens: Long): ReplicaLoad = copy(waitingTokens = (waitingTokens - prefillTokens).coerceAtLeast(0))

    /** The load after a request of this instance ended. */
    fun withEnded(): ReplicaLoad = copy(outstanding = (outstanding - 1).coerceAtLeast(0))

    /**
     * Expected prefill tokens by priority at [nowMs]: the report, drained in order of priority at [tokensPerSecond], with each piece
     * of work added when it was sent.
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

    /** Expected free KV memory: the report less what was sent since. */
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
        /** Bounds memory and decision time while no report comes; at one report a second far fewer are kept. */
        const val MAX_SENT = 64

        /** Work older than this has either been done or is counted in [waitingTokens]. */
        const val MAX_SENT_AGE_MS = 10_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
