package org.godwitwick.node.forward

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.FeedFreshness
import org.godwitwick.core.forward.FeedSource
import org.godwitwick.core.forward.FeedSourceSelector
import org.godwitwick.core.forward.ReaderPlan
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.FeedAnswer
import org.godwitwick.node.peer.FeedPull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Pacing of the reads of a [SharedReader].
 *
 * @property waitMs time for which a read of the store waits for records while every instance reads the store itself.
 * @property answerMs time after that wait within which the store must answer; otherwise the read is sent again on a new connection.
 * @property periodMs minimum time between the starts of two such reads, so that frequent records are read together.
 * @property sharedWaitMs longest time between two proofs of a reader on which other instances depend, and wait of a long poll of
 *   that reader.
 * @property sharedPeriodMs minimum time between two reads of the store by a reader on which other instances depend; at most
 *   [sharedWaitMs].
 * @property followerPeriodMs minimum time between two pulls of a follower.
 * @property maxAgeMs age of a reader's records above which another reader is asked.
 */
data class FeedPacing(
    val waitMs: Long,
    val answerMs: Long,
    val periodMs: Long,
    val sharedWaitMs: Long,
    val sharedPeriodMs: Long,
    val followerPeriodMs: Long,
    val maxAgeMs: Long,
) {
    /**
     * Time after which a standby reads the store itself unless the active reader passes on a newer proof. An active reader has a proof
     * every [sharedWaitMs]. The sum of this time and the time for an answer is at most [maxAgeMs] for bounds of two seconds and more,
     * so that the standby's own followers stay with it when the active reader is lost.
     */
    val standbyHoldMs: Long get() = sharedWaitMs + standbyAnswerMs

    /** Time for an answer of the active reader in addition to the long poll of a standby. */
    val standbyAnswerMs: Long get() = sharedWaitMs / 4
}

/**
 * Reads a feed from the store or, in a large fleet, from an instance that reads the store, and caches the records for other
 * instances.
 *
 * @param plan returns the current plan of which instances read the store.
 * @param ask sends a pull to another instance; returns null if it does not answer within the given time.
 */
class SharedReader(
    private val name: String,
    private val self: InstanceId,
    private val store: StoreReader,
    private val cache: FeedCache,
    private val sourceSelector: FeedSourceSelector,
    private val pacing: FeedPacing,
    private val plan: () -> ReaderPlan,
    private val ask: (to: InstanceId, pull: FeedPull, timeoutMs: Long) -> FeedAnswer?,
    private val clock: () -> ClockReading,
    private val pause: (Long) -> Unit = Thread::sleep,
    private val random: Random = Random.Default,
) : FeedReader {
    private var nextReadMs = Long.MIN_VALUE
    private var lastRecoveryMs: Long? = null
    private var lastSource: InstanceId? = null
    private var latestEra = 0L
    private var wasSilent = false
    private var storeProofMs: Long? = null

    override fun read(from: FeedPosition?): Result<FeedRead, FeedFailure> {
        pauseUntil(nextReadMs)
        while (true) {
            val nowMs = clock().steadyMs
            val plan = plan()
            when (val source = sourceSelector.next(plan, nowMs)) {
                is FeedSource.Store -> return readStore(plan, from, nowMs)

                is FeedSource.Reader -> {
                    // The answer to a standby comes with the next read of the active reader, which keeps the period.
                    nextReadMs =
                        nowMs + pacing.followerPeriodMs.let { if (source.isForStandby) minOf(it, STANDBY_PERIOD_MS) else it }
                    askReader(source, from, plan.isReader(self))?.let { return Ok(it) }
                }

                is FeedSource.None -> pauseUntil(source.untilMs)
            }
        }
    }

    private fun readStore(plan: ReaderPlan, from: FeedPosition?, nowMs: Long): Result<FeedRead, FeedFailure> {
        val isShared = plan.readers.isNotEmpty()
        nextReadMs = nowMs + if (isShared) pacing.sharedPeriodMs else pacing.periodMs
        val waitMs = when {
            !isShared -> pacing.waitMs

            // Time was lost with readers that did not answer, and the connection to the store may be silent as well.
            lastSource != null -> 0

            // The next proof is due, however long the period has delayed this read.
            else -> (pacing.sharedWaitMs - (nowMs - (storeProofMs ?: nowMs))).coerceIn(0, pacing.sharedWaitMs)
        }
        return store.read(from, waitMs, pacing.answerMs).onOk { read ->
            sourceSelector.onStoreAnswered()
            wasSilent = false
            storeProofMs = read.provenAt.steadyMs
            onSourceUsed(null, read)
            read.storeRecoveredAtMs?.let { lastRecoveryMs = it }
            cache.onRead(read, isFirstHand = true)
        }.onErr { failure ->
            // The next read may ask another instance, so it is not delayed by the period. The selector limits the rate of calls
            // to the store.
            nextReadMs = nowMs
            if (failure !is FeedFailure.HistoryDropped) cache.onStoreFailed()
            if (mustPauseAfter(failure)) sourceSelector.onStoreFailed(plan, clock().steadyMs, random.nextDouble())
        }
    }

    // A connection may be silent while the store answers on new ones, so the first silent read is repeated at once.
    private fun mustPauseAfter(failure: FeedFailure): Boolean = when (failure) {
        is FeedFailure.HistoryDropped -> false
        is FeedFailure.Unreachable -> true
        is FeedFailure.Silent -> wasSilent.also { wasSilent = true }
    }

    private fun askReader(source: FeedSource.Reader, from: FeedPosition?, isReader: Boolean): FeedRead? {
        val askedAt = clock()
        val holdMs = when {
            !source.mayLongPoll -> 0
            source.isForStandby -> pacing.standbyHoldMs
            else -> pacing.sharedWaitMs
        }
        val answerMs = if (holdMs > 0 && source.isForStandby) pacing.standbyAnswerMs else ANSWER_TIMEOUT_MS
        val offset = from?.offset ?: FeedCache.UNKNOWN_OFFSET
        val pull = FeedPull(name, offset, holdMs, from?.era ?: latestEra, awaitsProof = source.isForStandby)
        val answer = ask(source.id, pull, holdMs + answerMs)
        val nowMs = clock().steadyMs
        if (answer == null) {
            log.info("feed: {} got no answer from the reader {} within {} ms", name, source.id, nowMs - askedAt.steadyMs)
            sourceSelector.onNoAnswer(source.id, nowMs)
            return null
        }
        val read = readOf(answer, askedAt)?.takeIf { isUsable(it, from) }
        val ageMs = clock().maxElapsedMsSince(FeedFreshness.provenAt(askedAt, answer.provenLeadMs))
        // Otherwise readers that the store refuses could confirm stale records to each other in a circle.
        val isCircular = isReader && !answer.isFirstHand
        // A reader of an earlier version answers a standby too late for the standby's own followers.
        val passesProofs = answer.passesProofs || !source.isForStandby
        val maxAgeMs = if (source.isForStandby) pacing.standbyHoldMs else pacing.maxAgeMs
        if (read == null || isCircular || !passesProofs || ageMs > maxAgeMs) {
            if (lastSource == source.id) log.info("feed: {} of the reader {} is not used, {} ms old", name, source.id, ageMs)
            sourceSelector.onStaleAnswer(source.id, nowMs)
            return null
        }
        sourceSelector.onFreshAnswer(source.id)
        onSourceUsed(source.id, read)
        cache.onRead(read, isFirstHand = false)
        return read
    }

    // Changes continue only the numbering in which they were asked for, and a reader may not know yet that the store has returned
    // from an older copy.
    private fun isUsable(read: FeedRead, from: FeedPosition?): Boolean =
        read.next.era >= latestEra && (read.isSnapshot || read.next.era == from?.era)

    private fun readOf(answer: FeedAnswer, askedAt: ClockReading): FeedRead? {
        if (answer.nextOffset < 0) return null
        val records = decodeFeedRecords(answer.records)
        if (records == null) {
            log.warn("feed: {}: the records of a reader could not be decoded", name)
            return null
        }
        val proven = FeedFreshness.provenAt(askedAt, answer.provenLeadMs)
        val next = FeedPosition(answer.era, answer.nextOffset)
        return FeedRead(records, next, answer.isSnapshot, proven, newRecoveryMs(answer, askedAt))
    }

    // Answers repeat the last recovery of the store for a while, and readers notice that recovery at slightly different times.
    private fun newRecoveryMs(answer: FeedAnswer, askedAt: ClockReading): Long? {
        val atMs = answer.regainedLeadMs?.let { askedAt.steadyMs + it } ?: return null
        val last = lastRecoveryMs
        if (last != null && atMs - last < SAME_RECOVERY_MS) return null
        lastRecoveryMs = atMs
        return atMs
    }

    private fun onSourceUsed(source: InstanceId?, read: FeedRead) {
        latestEra = read.next.era
        if (source != lastSource) log.info("feed: {} is read from {}", name, source?.let { "the reader $it" } ?: "the store")
        lastSource = source
    }

    private fun pauseUntil(untilMs: Long) {
        val nowMs = clock().steadyMs
        if (nowMs < untilMs) pause(untilMs - nowMs)
    }

    private companion object {
        /** Time for an answer in addition to the long poll; the latency between instances of a region is a few milliseconds. */
        const val ANSWER_TIMEOUT_MS = 300L

        /** Bounds the pulls of a standby from an active reader that answers at once. */
        const val STANDBY_PERIOD_MS = 50L

        /**
         * Readers call an unreachable store several times a second, so they notice its recovery within this time of each other.
         */
        const val SAME_RECOVERY_MS = 1_500L
        val log = LoggerFactory.getLogger(SharedReader::class.java)
    }
}
