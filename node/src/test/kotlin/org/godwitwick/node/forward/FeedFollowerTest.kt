package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.FeedSourceSelector
import org.godwitwick.core.forward.ReaderPlan
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Follows a feed on an instance of a small fleet, which reads the store itself. */
class FeedFollowerTest {
    private var nowMs = 1_000L
    private val answers = ArrayDeque<() -> Result<StoredPage, FeedFailure>>()
    private val notifications = ArrayList<String>()
    private val waits = ArrayList<Long>()
    private val answerLimits = ArrayList<Long>()
    private var provenAt: ClockReading? = null
    private var newest = page(5, "a" to "1")
    private val feed = object : RecordFeed<String> {
        override fun newest(): Result<StoredPage, FeedFailure> = Ok(newest)

        override fun changes(fromOffset: Long, waitMs: Long, answerMs: Long): Result<StoredPage, FeedFailure> {
            waits += waitMs
            answerLimits += answerMs
            return answers.removeFirst()()
        }

        override fun decode(records: List<StoredRecord>) = records.map { it.key to it.value?.decodeToString() }
    }
    private val listener = object : FeedListener<String> {
        override fun onSnapshot(items: Map<String, String?>, provenAt: ClockReading) {
            notifications += "snapshot $items"
            this@FeedFollowerTest.provenAt = provenAt
        }

        override fun onChanges(items: List<Pair<String, String?>>, provenAt: ClockReading) {
            notifications += "changes $items"
            this@FeedFollowerTest.provenAt = provenAt
        }

        override fun onStoreRecovered(atMs: Long) {
            notifications += "regained"
        }
    }
    private val clock = { ClockReading(nowMs, nowMs) }
    private val reader = SharedReader(
        "test",
        InstanceId("entry-1"),
        StoreReader("test", feed, outageMs = 1_200, clock),
        FeedCache(clock),
        FeedSourceSelector(InstanceId("entry-1"), "dc"),
        FeedPacing(
            waitMs = 2_000,
            answerMs = 400,
            periodMs = 0,
            sharedWaitMs = 1_000,
            sharedPeriodMs = 0,
            followerPeriodMs = 0,
            maxAgeMs = 2_000,
        ),
        plan = { ReaderPlan(emptyMap()) },
        ask = { _, _, _ -> error("there is nobody to ask") },
        clock,
        pause = { nowMs += it },
    )
    private val follower = FeedFollower("test", reader, feed::decode, listener)

    private fun page(nextOffset: Long, vararg records: Pair<String, String?>, era: Long = 1) =
        StoredPage(records.map { (key, value) -> StoredRecord(key, value?.toByteArray()) }, nextOffset, era)

    private fun answer(afterMs: Long, result: Result<StoredPage, FeedFailure>) = answers.addLast {
        nowMs += afterMs
        result
    }

    private fun empty() = Ok(page(5))

    // Guards against a long poll that counts as proof for the time of its answer instead of its request.
    @Test
    fun `an answer with records proves the state at the time of the request`() {
        follower.step()
        answer(700, Ok(page(6, "a" to "2")))
        follower.step()
        expectThat(provenAt?.steadyMs).isEqualTo(1_000)
    }

    @Test
    fun `an empty answer after the whole wait proves the state at the end of the wait`() {
        follower.step()
        answer(2_005, empty())
        follower.step()
        expectThat(provenAt?.steadyMs).isEqualTo(3_000)
    }

    @Test
    fun `an empty answer before the end of the wait proves the state at the time of the request`() {
        follower.step()
        answer(300, empty())
        follower.step()
        expectThat(provenAt?.steadyMs).isEqualTo(1_000)
    }

    @Test
    fun `a snapshot is read after the store has dropped the requested history`() {
        follower.step()
        answer(1, Err(FeedFailure.HistoryDropped("gone")))
        follower.step()
        follower.step()
        expectThat(notifications).containsExactly("snapshot {a=1}", "snapshot {a=1}")
    }

    // Guards against a feed that goes on at its old offset after the store has returned from an older copy, where that offset means
    // another record: whatever was written before it is never read.
    @Test
    fun `a snapshot is read after the store has returned from an older copy`() {
        follower.step()
        answer(1, Ok(page(6, "c" to "3", era = 2)))
        newest = page(6, "a" to "1", "b" to "2", "c" to "3", era = 2)
        repeat(2) { follower.step() }
        expectThat(notifications).containsExactly("snapshot {a=1}", "regained", "snapshot {a=1, b=2, c=3}")
    }

    // Guards against an outage that seems to last until the first record after it. Seen in a fault-injection run ("hunted day") of
    // kasher with mix e5164442: the store had been available again for 3 s, and an upstream that then left got new work for 2 s more.
    @Test
    fun `the first read after a failure does not wait, so that the end of an outage is noticed at once`() {
        follower.step()
        answer(2_000, Err(FeedFailure.Unreachable("down")))
        answer(1, empty())
        answer(2_000, empty())
        repeat(3) { follower.step() }
        expectThat(waits).containsExactly(2_000, 0, 2_000)
        expectThat(notifications.filter { it == "regained" }).containsExactly("regained")
    }

    // Guards against a leaving upstream that gets work for longer, because a connection to the store has become silent: a pause before
    // the next read, and the grace for registrations that have expired in an outage, would come on top of the silent read.
    @Test
    fun `a silent read is repeated at once and with more time, and is no outage of the store`() {
        follower.step()
        answer(2_400, Err(FeedFailure.Silent("no answer")))
        answer(1, Ok(page(6, "a" to null)))
        repeat(2) { follower.step() }
        expectThat(nowMs).isEqualTo(3_401)
        expectThat(waits).containsExactly(2_000, 0)
        expectThat(answerLimits).containsExactly(400, 800)
        expectThat(notifications).containsExactly("snapshot {a=1}", "changes [(a, null)]")
    }

    @Test
    fun `a store that stays silent is called after a pause and its recovery is reported`() {
        follower.step()
        answer(2_400, Err(FeedFailure.Silent("no answer")))
        answer(800, Err(FeedFailure.Silent("no answer")))
        answer(1, empty())
        repeat(3) { follower.step() }
        expectThat(nowMs).isGreaterThan(4_201)
        expectThat(notifications).containsExactly("snapshot {a=1}", "regained", "changes []")
    }

    @Test
    fun `the recovery of the store is reported before the records read after it`() {
        follower.step()
        answer(2_000, Err(FeedFailure.Unreachable("down")))
        answer(1, Ok(page(6, "a" to null)))
        follower.step()
        follower.step()
        expectThat(notifications).containsExactly("snapshot {a=1}", "regained", "changes [(a, null)]")
    }
}
