package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.node.peer.FeedPull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.Executor

class FeedCacheTest {
    private var nowMs = 1_000L
    private val releases = ArrayList<Runnable>()
    private val cache = FeedCache({ ClockReading(nowMs, nowMs) }) { Executor(releases::add) }

    private fun onRead(nextOffset: Long, provenMs: Long, vararg keys: String, isSnapshot: Boolean = false) = cache.onRead(
        FeedRead(
            keys.map { StoredRecord(it, byteArrayOf(1)) },
            FeedPosition(era = 1, nextOffset),
            isSnapshot,
            ClockReading(provenMs, provenMs),
        ),
        isFirstHand = true,
    )

    @Test
    fun `a waiting pull is answered with the next change`() {
        onRead(4, provenMs = 900, "a", isSnapshot = true)
        val answer = cache.answer(FeedPull("test", 4, 1_000, era = 1))
        expectThat(answer.isDone).isFalse()
        nowMs = 1_400
        onRead(5, provenMs = 1_350, "b")
        expectThat(decodeFeedRecords(answer.join().records)?.map { it.key }).isEqualTo(listOf("b"))
        expectThat(answer.join().provenLeadMs).isEqualTo(350)
    }

    // Guards against a follower that waits without end for a change and gets no newer proof meanwhile.
    @Test
    fun `without a change a pull is answered after its wait with the newest proof`() {
        onRead(4, provenMs = 900, "a", isSnapshot = true)
        val answer = cache.answer(FeedPull("test", 4, 1_000, era = 1))
        nowMs = 2_000
        onRead(4, provenMs = 1_900)
        expectThat(answer.isDone).isFalse()
        releases.single().run()
        expectThat(answer.join().nextOffset).isEqualTo(4)
        expectThat(answer.join().provenLeadMs).isEqualTo(900)
    }

    @Test
    fun `a pull from an older offset is answered at once`() {
        onRead(4, provenMs = 900, "a", isSnapshot = true)
        onRead(6, provenMs = 950, "b", "c")
        val answer = cache.answer(FeedPull("test", 5, 1_000, era = 1))
        expectThat(answer.isDone).isTrue()
        expectThat(decodeFeedRecords(answer.join().records)?.map { it.key }).isEqualTo(listOf("c"))
        expectThat(answer.join().provenLeadMs).isEqualTo(-50)
    }

    // Guards against a second answer to the same pull.
    @Test
    fun `the end of the wait of an answered pull has no effect`() {
        onRead(4, provenMs = 900, "a", isSnapshot = true)
        val answer = cache.answer(FeedPull("test", 4, 1_000, era = 1))
        onRead(5, provenMs = 950, "b")
        releases.single().run()
        expectThat(answer.join().nextOffset).isEqualTo(5)
    }
}
