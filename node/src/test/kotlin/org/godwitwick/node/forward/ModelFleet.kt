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
import java.util.concurrent.CompletableFuture
import kotlin.random.Random

/**
 * A fleet of 18 instances in three data centres that follow one feed, in model time: reads of the store and pulls wait as long as they
 * would.
 *
 * @param isEarlierVersion whether an instance is of the version in which all readers read the store.
 */
internal class ModelFleet(
    private val pacing: FeedPacing,
    isEarlierVersion: (ReaderPlan, InstanceId) -> Boolean = { _, _ -> false },
) : AutoCloseable {
    inner class Instance(val id: InstanceId, dataCentre: String, private val isEarlierVersion: Boolean) {
        private val clock = { ClockReading(time.nowMs, time.nowMs) }
        val cache = FeedCache(clock, time::delayed)
        private var silentBeforeMs = 0L
        var value: String? = null
        var provenAtMs = 0L
        var calls = 0

        fun silence() {
            silentBeforeMs = time.nowMs
        }

        private val records = object : RecordFeed<String> {
            override fun newest() = answer {
                StoredPage(listOf(StoredRecord(KEY, newest?.toByteArray())), stored.size.toLong(), 1)
            }

            override fun changes(fromOffset: Long, waitMs: Long, answerMs: Long): Result<StoredPage, FeedFailure> {
                val sentMs = time.nowMs
                time.await(id, sentMs + waitMs) { stored.size > fromOffset || id in refused || sentMs < silentBeforeMs }
                if (sentMs < silentBeforeMs) {
                    calls++
                    time.await(id, sentMs + waitMs + answerMs)
                    return Err(FeedFailure.Silent("no answer"))
                }
                return answer { StoredPage(stored.drop(fromOffset.toInt()), stored.size.toLong(), 1) }
            }

            override fun decode(records: List<StoredRecord>) = records.map { it.key to it.value?.decodeToString() }
        }

        private fun answer(page: () -> StoredPage): Result<StoredPage, FeedFailure> {
            calls++
            time.await(id, time.nowMs + STORE_LATENCY_MS)
            return if (id in refused) Err(FeedFailure.Unreachable("refused")) else Ok(page())
        }

        private val reader = SharedReader(
            "test",
            id,
            StoreReader("test", records, outageMs = 1_200, clock),
            cache,
            FeedSourceSelector(id, dataCentre),
            pacing,
            { if (isEarlierVersion && plan.isReader(id)) ReaderPlan(mapOf("" to listOf(id))) else plan },
            { to, pull, timeoutMs -> ask(id, to, if (isEarlierVersion) pull.ofEarlierVersion() else pull, timeoutMs) },
            clock,
            { pausedMs -> time.await(id, time.nowMs + pausedMs) },
            Random(id.value.hashCode()),
        )
        private val follower = FeedFollower(
            "test",
            reader,
            records::decode,
            object : FeedListener<String> {
                override fun onSnapshot(items: Map<String, String?>, provenAt: ClockReading) = onChanges(items.toList(), provenAt)

                override fun onChanges(items: List<Pair<String, String?>>, provenAt: ClockReading) {
                    items.forEach { (key, changed) -> if (key == KEY) value = changed }
                    provenAtMs = maxOf(provenAtMs, provenAt.steadyMs)
                }

                override fun onStoreRecovered(atMs: Long) = Unit
            },
        )

        fun run() {
            while (true) follower.step()
        }

        fun answer(pull: FeedPull): CompletableFuture<FeedAnswer> = if (isEarlierVersion) {
            cache.answer(pull.ofEarlierVersion()).thenApply {
                it.ofEarlierVersion()
            }
        } else {
            cache.answer(pull)
        }
    }

    val time = ModelTime()
    private val dataCentres = (1..INSTANCES).associate { InstanceId("entry-$it") to "dc-${it % 3}" }
    private val plan = ReaderPlan.of(dataCentres)

    /** The readers in the order in which they take on the reads of the store. */
    val readers = plan.readers.values.flatten().sortedBy { plan.activeReadersFor(it).size }
    private val stored = ArrayList<StoredRecord>()
    private var newest: String? = null

    /** Instances that the store refuses. */
    val refused = HashSet<InstanceId>()

    /** Instances that reach the store but no other instance. */
    val cutOff = HashSet<InstanceId>()

    /** Time until which all pulls remain unanswered. */
    var linksSilentUntilMs = 0L
    val instances = dataCentres.mapValues { (id, dataCentre) -> Instance(id, dataCentre, isEarlierVersion(plan, id)) }
    val live get() = instances.values.filter { it.id !in time.suspended }
    val calls get() = instances.values.sumOf { it.calls }

    init {
        put("first")
        instances.forEach { (id, instance) -> time.start(id, instance::run) }
    }

    /** Writes the record that the instances are to know. */
    fun put(value: String) {
        newest = value
        stored += StoredRecord(KEY, value.toByteArray())
    }

    /** Appends another record each [periodMs], as upstreams do that renew their registrations. */
    fun appendEvery(periodMs: Long) = time.start(this) {
        while (true) {
            stored += StoredRecord("renewed", byteArrayOf(1))
            time.await(this, time.nowMs + periodMs)
        }
    }

    private fun FeedPull.ofEarlierVersion() = FeedPull(feed, fromOffset, holdMs, era)

    private fun FeedAnswer.ofEarlierVersion() =
        FeedAnswer(records, isSnapshot, nextOffset, provenLeadMs, isFirstHand, regainedLeadMs, era)

    private fun ask(from: InstanceId, to: InstanceId, pull: FeedPull, timeoutMs: Long): FeedAnswer? {
        val untilMs = time.nowMs + timeoutMs
        if (time.nowMs < linksSilentUntilMs || !canAnswer(from, to)) {
            time.await(from, untilMs)
            return null
        }
        time.await(from, time.nowMs + LINK_LATENCY_MS)
        val answer = instances.getValue(to).answer(pull)
        time.await(from, untilMs) { answer.isDone && canAnswer(from, to) }
        return answer.getNow(null)?.takeIf { canAnswer(from, to) }
    }

    private fun canAnswer(from: InstanceId, to: InstanceId) = to !in time.suspended && from !in cutOff && to !in cutOff

    override fun close() = time.close()

    private companion object {
        const val INSTANCES = 18
        const val KEY = "changed"
        const val STORE_LATENCY_MS = 4L
        const val LINK_LATENCY_MS = 2L
    }
}
