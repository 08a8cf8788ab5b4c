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
 * Timing of a [SharedReader], in milliseconds.
 *
 * @property waitMs time for which a read of the store waits for records while every instance reads for itself.
 * @property periodMs least time between the starts of two such reads, so that frequent records share a read.
 * @property sharedWaitMs the wait of a reader whose knowledge others depend on, and of a question to it.
 * @property sharedPeriodMs the period of a reader and of its followers.
 * @property maxAgeMs age of a reader's knowledge from which on another one is asked.
 */
data class FeedPacing(val waitMs: Long, val periodMs: Long, val sharedWaitMs: Long, val sharedPeriodMs: Long, val maxAgeMs: Long)

/**
 * Reads a feed from the store or, in a large fleet, from an instance that does, and keeps what it reads for instances that ask.
 *
 * @param plan who reads the store at the moment.
 * @param ask asks another instance; null when it doesn't answer in the given time.
 */
class SharedReader(
    private val name: String,
    private val self: InstanceId,
    private val store: StoreReader,
    private val cache: FeedCache,
    private val choice: FeedSourceSelector,
    private val pacing: FeedPacing,
    private val plan: () -> ReaderPlan,
    private val ask: (to: InstanceId, pull: FeedPull, timeoutMs: Long) -> FeedAnswer?,
    private val clock: () -> ClockReading,
    private val pause: (Long) -> Unit = Thread::sleep,
    private val random: Random = Random.Default,
) : FeedReader {
    private var nextReadMs = Long.MIN_VALUE
    private var lastRegainedMs: Long? = null
    private var lastSource: InstanceId? = null

    override fun read(fromOffset: Long?): Result<FeedRead, FeedFailure> {
        pauseUntil(nextReadMs)
        while (true) {
            val nowMs = clock().steadyMs
            val plan = plan()
            when (val source = choice.next(plan, nowMs)) {
                is FeedSource.Store -> return readStore(plan, fromOffset, nowMs)

                is FeedSource.Reader -> {
                    nextReadMs = nowMs + pacing.sharedPeriodMs
                    askReader(source, fromOffset, plan.isReader(self))?.let { return Ok(it) }
                }

                is FeedSource.None -> pauseUntil(source.untilMs)
            }
        }
    }

    private fun readStore(plan: ReaderPlan, fromOffset: Long?, nowMs: Long): Result<FeedRead, FeedFailure> {
        val isShared = plan.readers.isNotEmpty()
        nextReadMs = nowMs + if (isShared) pacing.sharedPeriodMs else pacing.periodMs
        // A follower that reads for itself for once must soon be able to ask a reader again.
        val waitMs = if (!isShared) pacing.waitMs else pacing.sharedWaitMs
        return store.read(fromOffset, waitMs).onOk { read ->
            choice.onStoreAnswered()
            noteSource(null)
            read.regainedAtMs?.let { lastRegainedMs = it }
            cache.take(read, isFirstHand = true)
        }.onErr { failure ->
            // The next read may ask an instance, so the period doesn't hold it up; the choice spaces the calls to the store.
            nextReadMs = nowMs
            val isRefused = failure is FeedFailure.Unreachable
            if (isRefused) choice.onStoreFailed(plan, clock().steadyMs, random.nextDouble())
        }
    }

    private fun askReader(source: FeedSource.Reader, fromOffset: Long?, isReader: Boolean): FeedRead? {
        val askedAt = clock()
        val holdMs = if (source.mayLongPoll) pacing.sharedWaitMs else 0
        val answer = ask(source.id, FeedPull(name, fromOffset ?: FeedCache.UNKNOWN, holdMs), holdMs + ANSWER_MS)
        val nowMs = clock().steadyMs
        if (answer == null) {
            log.info("feed: {} got no answer from the reader {} within {} ms", name, source.id, nowMs - askedAt.steadyMs)
            choice.onNoAnswer(source.id, nowMs)
            return null
        }
        val read = readOf(answer, askedAt)
        val ageMs = clock().maxElapsedMsSince(FeedFreshness.provenAt(askedAt, answer.provenLeadMs))
        // Readers that the store refuses would otherwise learn from each other in a circle.
        val isCircular = isReader && !answer.isFirstHand
        if (read == null || isCircular || ageMs > pacing.maxAgeMs) {
            if (lastSource == source.id) log.info("feed: {} of the reader {} is {} ms old", name, source.id, ageMs)
            choice.onStaleAnswer(source.id, nowMs)
            return null
        }
        choice.onFreshAnswer(source.id)
        noteSource(source.id)
        cache.take(read, isFirstHand = false)
        return read
    }

    private fun readOf(answer: FeedAnswer, askedAt: ClockReading): FeedRead? {
        if (answer.nextOffset < 0) return null
        val records = decodeFeedRecords(answer.records)
        if (records == null) {
            log.warn("feed: {}: the records of a reader can't be read", name)
            return null
        }
        val proven = FeedFreshness.provenAt(askedAt, answer.provenLeadMs)
        return FeedRead(records, answer.nextOffset, answer.isSnapshot, proven, newlyRegainedMs(answer, askedAt))
    }

    // Every answer states the last return of the store for a while, and readers find out about it at slightly different times.
    private fun newlyRegainedMs(answer: FeedAnswer, askedAt: ClockReading): Long? {
        val atMs = answer.regainedLeadMs?.let { askedAt.steadyMs + it } ?: return null
        val last = lastRegainedMs
        if (last != null && atMs - last < SAME_RETURN_MS) return null
        lastRegainedMs = atMs
        return atMs
    }

    private fun noteSource(source: InstanceId?) {
        if (source != lastSource) log.info("feed: {} is read from {}", name, source?.let { "the reader $it" } ?: "the store")
        lastSource = source
    }

    private fun pauseUntil(untilMs: Long) {
        val nowMs = clock().steadyMs
        if (nowMs < untilMs) pause(untilMs - nowMs)
    }

    private companion object {
        /** Time for an answer beside the hold; instances of a region are a few milliseconds apart. */
        const val ANSWER_MS = 300L

        /** Readers ask a store that is away several times a second, so they notice its return within this time of each other. */
        const val SAME_RETURN_MS = 1_500L
        val log = LoggerFactory.getLogger(SharedReader::class.java)
    }
}
