package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.FeedSourceSelector
import org.godwitwick.core.forward.ReaderPlan
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.FeedAnswer
import org.godwitwick.node.peer.FeedPull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.Executor
import kotlin.random.Random

/**
 * Simulates a large fleet that follows one feed, in model time: the instances read one after the other, and a pull from another
 * instance is answered at once. [FeedCacheTest] covers pulls that wait.
 */
class SharedReaderTest {
    private class Store {
        val records = ArrayList<StoredRecord>()
        val refused = HashSet<InstanceId>()
        var isDown = false
        var era = 1L
        var calls = 0

        /** Instances whose connection to the store is silent; they use a new one after the read that shows it. */
        val silent = HashSet<InstanceId>()

        fun restore(size: Int) {
            records.subList(size, records.size).clear()
            era++
        }

        fun feedOf(id: InstanceId, onHang: (Long) -> Unit) = object : RecordFeed<String> {
            override fun newest() = answer(id) {
                StoredPage(records.associateBy { it.key }.values.toList(), records.size.toLong(), era)
            }

            override fun changes(fromOffset: Long, waitMs: Long, answerMs: Long) = when {
                silent.remove(id) -> {
                    onHang(waitMs + answerMs)
                    Err(FeedFailure.Silent("no answer"))
                }

                fromOffset > records.size -> Err(FeedFailure.HistoryDropped("gone"))

                else -> answer(id) { StoredPage(records.drop(fromOffset.toInt()), records.size.toLong(), era) }
            }

            override fun decode(records: List<StoredRecord>) = records.map { it.key to it.value?.decodeToString() }
        }

        private fun answer(id: InstanceId, page: () -> StoredPage): Result<StoredPage, FeedFailure> {
            calls++
            return if (isDown || id in refused) Err(FeedFailure.Unreachable("refused")) else Ok(page())
        }
    }

    private inner class Instance(val id: InstanceId, dataCentre: String) {
        // Clocks of different instances are unrelated.
        private val offsetMs = id.value.hashCode().toLong()
        private val clock = { maxOf(nowMs, busyUntilMs).let { ClockReading(it + offsetMs, it - offsetMs) } }
        val cache = FeedCache(clock) { Executor { } }
        private val feed = store.feedOf(id, ::hang)
        val recoveries = ArrayList<Long>()
        val values = HashMap<String, String?>()
        var provenAt: ClockReading? = null
        private var untilMs = 0L
        private var busyUntilMs = 0L
        private val reader = SharedReader(
            "test",
            id,
            StoreReader("test", feed, outageMs = 1_200, clock),
            cache,
            FeedSourceSelector(id, dataCentre),
            pacing,
            { plan },
            { to, pull, timeoutMs -> answerOf(id, to, pull, timeoutMs) },
            clock,
            { pausedMs -> throw Paused(pausedMs) },
            Random(id.value.hashCode()),
        )
        private val follower = FeedFollower(
            "test",
            reader,
            feed::decode,
            object : FeedListener<String> {
                override fun onSnapshot(items: Map<String, String?>, provenAt: ClockReading) {
                    values.clear()
                    onChanges(items.toList(), provenAt)
                }

                override fun onChanges(items: List<Pair<String, String?>>, provenAt: ClockReading) {
                    values.putAll(items)
                    this@Instance.provenAt = provenAt
                }

                override fun onStoreRecovered(atMs: Long) {
                    recoveries += atMs
                }
            },
        )

        val ageMs: Long? get() = provenAt?.let { clock().maxElapsedMsSince(it) }

        /** Spends [ms] in a call that is not answered. */
        fun hang(ms: Long) {
            busyUntilMs = maxOf(nowMs, busyUntilMs) + ms
        }

        fun run() {
            // A pause ends the run; the first run after the pause continues reading.
            while (nowMs >= maxOf(untilMs, busyUntilMs)) {
                try {
                    follower.step()
                } catch (e: Paused) {
                    untilMs = maxOf(nowMs, busyUntilMs) + e.pausedMs
                }
            }
        }
    }

    private class Paused(val pausedMs: Long) : RuntimeException()

    private var nowMs = 10_000L
    private val store = Store()
    private val dataCentres = (1..95).associate { InstanceId("entry-$it") to "dc-${it % 5}" }
    private var plan = ReaderPlan.of(dataCentres)
    private var pacing =
        FeedPacing(
            waitMs = 0,
            answerMs = 400,
            periodMs = 500,
            sharedWaitMs = 0,
            sharedPeriodMs = 500,
            followerPeriodMs = 500,
            maxAgeMs = 2_000,
        )
    private val instances by lazy { dataCentres.mapValues { (id, dataCentre) -> Instance(id, dataCentre) } }
    private val dead = HashSet<InstanceId>()
    private var linksSilentUntilMs = 0L
    private val readers by lazy { instances.values.filter { plan.isReader(it.id) } }

    private fun answerOf(from: InstanceId, to: InstanceId, pull: FeedPull, timeoutMs: Long): FeedAnswer? {
        check(timeoutMs > 0 && from != to)
        if (nowMs < linksSilentUntilMs) {
            instances.getValue(from).hang(timeoutMs)
            return null
        }
        return if (to in dead) null else instances.getValue(to).cache.answer(pull).getNow(null)
    }

    private fun advance(ms: Long) = repeat((ms / TICK_MS).toInt()) {
        nowMs += TICK_MS
        instances.values.filter { it.id !in dead }.forEach { it.run() }
    }

    private fun put(key: String, value: String?) {
        store.records += StoredRecord(key, value?.toByteArray())
    }

    private fun liveInstances() = instances.values.filter { it.id !in dead }

    // Guards against a number of store calls that grows with the number of instances, in a large fleet without changes.
    @Test
    fun `in a fleet of 95 instances only the five readers read the store`() {
        put("a", "1")
        advance(2_000)
        val before = store.calls
        advance(20_000)
        expectThat((store.calls - before) / 20.0).isLessThanOrEqualTo(2.0 * readers.size)
    }

    @Test
    fun `all instances know a change within two periods`() {
        put("a", "1")
        advance(2_000)
        put("a", "2")
        put("b", "1")
        advance(1_100)
        expectThat(liveInstances().map { it.values }).all { isEqualTo(hashMapOf("a" to "2", "b" to "1")) }
        put("b", null)
        advance(1_100)
        expectThat(liveInstances().map { it.values["b"] }).all { isEqualTo(null) }
    }

    // Guards against keys that are accepted too long or refused needlessly after a reader has failed.
    @Test
    fun `no proof of a follower is older than two seconds while readers fail one after the other`() {
        put("a", "1")
        advance(2_000)
        for (reader in readers) {
            dead += reader.id
            repeat(15) {
                advance(100)
                expectThat(liveInstances().mapNotNull { it.ageMs }.max()).isLessThanOrEqualTo(2_100)
            }
        }
        put("a", "2")
        advance(3_000)
        expectThat(liveInstances().map { it.values["a"] }).all { isEqualTo("2") }
    }

    @Test
    fun `instances that the store refuses get proofs and changes from other instances`() {
        put("a", "1")
        advance(2_000)
        store.refused += readers.take(4).map { it.id }
        advance(3_000)
        put("a", "2")
        advance(2_500)
        expectThat(liveInstances().map { it.values["a"] }).all { isEqualTo("2") }
        expectThat(liveInstances().mapNotNull { it.ageMs }.max()).isLessThan(2_600)
    }

    // Guards against instances that confirm stale records to each other in a circle while the store is unreachable.
    @Test
    fun `while the store is down proofs age at all instances and few calls are made`() {
        put("a", "1")
        advance(2_000)
        store.isDown = true
        val before = store.calls
        advance(5_000)
        expectThat(liveInstances().mapNotNull { it.ageMs }.min()).isGreaterThan(4_400)
        expectThat(store.calls - before).isLessThan(dataCentres.size * 5)
    }

    // Guards against followers that did not notice an outage and drop the registrations that expired during it.
    @Test
    fun `every instance is notified once of the recovery of the store, and has a proof within two seconds`() {
        put("a", "1")
        advance(2_000)
        store.isDown = true
        advance(3_000)
        store.isDown = false
        val backMs = nowMs
        put("a", null)
        advance(2_000)
        expectThat(liveInstances().map { it.recoveries.size }).all { isEqualTo(1) }
        expectThat(liveInstances().mapNotNull { it.ageMs }.max()).isLessThanOrEqualTo(1_100)
        expectThat(nowMs - backMs).isEqualTo(2_000)
    }

    // Guards against records that an instance never reads because the store has returned from an older copy and has given their
    // offsets out again, and against followers that go on at such an offset through a reader.
    @Test
    fun `all instances know the records that the store has after its return from an older copy`() {
        put("a", "1")
        repeat(4) { put("b", "$it") }
        advance(2_000)
        store.restore(size = 1)
        put("c", "1")
        put("b", "4")
        repeat(5) { put("d", "$it") }
        advance(2_500)
        expectThat(liveInstances().map { it.values }).all { isEqualTo(hashMapOf("a" to "1", "b" to "4", "c" to "1", "d" to "4")) }
        expectThat(liveInstances().map { it.recoveries.size }).all { isEqualTo(1) }
    }

    // Guards against an instance that goes back to the records of before the return, which another instance still has.
    @Test
    fun `a reader that does not know of the store's return is not followed any more`() {
        put("a", "1")
        advance(2_000)
        store.refused += readers.take(4).map { it.id }
        put("a", "2")
        store.restore(size = 1)
        put("a", "3")
        advance(3_000)
        store.refused += readers.map { it.id }
        advance(1_000)
        expectThat(liveInstances().map { it.values["a"] }).all { isEqualTo("3") }
    }

    @Test
    fun `an instance that has missed more changes than the readers keep gets the newest records`() {
        put("a", "1")
        advance(2_000)
        val late = liveInstances().first { !plan.isReader(it.id) }
        dead += late.id
        repeat(600) { put("k${it % 7}", "$it") }
        advance(1_500)
        dead -= late.id
        advance(1_500)
        expectThat(late.values).isEqualTo(liveInstances().first { it !== late }.values)
    }

    // Guards against a leaving upstream that gets work for too long, because reads of the store and of readers hang on connections
    // that have become silent.
    @Test
    fun `all instances know a change within its time after all open connections have become silent`() {
        pacing = FeedPacings.ofUpstreams(LEAVING_MS)
        put("a", "1")
        advance(2_000)
        repeat(10) { round ->
            advance(CALM_MS + round * 130L)
            store.silent += dataCentres.keys
            linksSilentUntilMs = nowMs + LINK_RENEWAL_MS
            put("a", "leaving $round")
            advance(LEAVING_MS)
            expectThat(liveInstances().map { it.values["a"] }).all { isEqualTo("leaving $round") }
        }
    }

    // Guards against records that are passed on with an offset that is not theirs.
    @Test
    fun `a cache states an unknown offset for a pull from an offset that it has not reached`() {
        val cache = FeedCache({ ClockReading(nowMs, nowMs) }) { Executor { } }
        expectThat(cache.answer(FeedPull("test", 0, 0, era = 1)).join().nextOffset).isEqualTo(FeedCache.UNKNOWN_OFFSET)
        cache.onRead(
            FeedRead(
                listOf(StoredRecord("a", byteArrayOf(1))),
                FeedPosition(era = 1, 4),
                isSnapshot = true,
                ClockReading(nowMs, nowMs),
            ),
            isFirstHand = true,
        )
        expectThat(cache.answer(FeedPull("test", 9, 0, era = 1)).join().nextOffset).isEqualTo(FeedCache.UNKNOWN_OFFSET)
        expectThat(cache.answer(FeedPull("test", 2, 0, era = 1)).join().isSnapshot).isTrue()
        expectThat(cache.answer(FeedPull("test", 4, 0, era = 1)).join().isSnapshot).isFalse()
    }

    @Test
    fun `malformed and oversized records are not decoded`() {
        expectThat(decodeFeedRecords(ByteArray(40) { 7 })).isEqualTo(null)
        val bomb = encodeFeedRecords(listOf(StoredRecord("a", ByteArray(9 shl 20))))
        expectThat(decodeFeedRecords(bomb)).isEqualTo(null)
        expectThat(decodeFeedRecords(encodeFeedRecords(listOf(StoredRecord("a", byteArrayOf(3)))))).isNotNull()
    }

    private companion object {
        const val TICK_MS = 50L

        /** Time for leaving in the deployments that read through readers. */
        const val LEAVING_MS = 4_000L

        /** A link that does not answer is replaced after this time, see [org.godwitwick.node.peer.PeerLimits]. */
        const val LINK_RENEWAL_MS = 2_500L
        const val CALM_MS = 5_000L
    }
}
