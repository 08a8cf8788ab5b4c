package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

class ColdUpstreamsTest {
    private val upstreams = ColdUpstreams()

    private fun entry(id: String, born: Long = 1, coldMs: Long? = null, sequence: Long = 1) =
        upstream(id, startedAtMs = born, sequence = sequence).copy(coldRemainingMs = coldMs)

    private fun register(nowMs: Long, vararg entries: UpstreamEntry) =
        upstreams.onRegistered(entries.toList(), { 8_000 }, nowMs).map { it.upstream to it.untilMs }

    // Guards against a whole fleet of upstreams that counts as cold after a start of the instance or an outage of the store.
    @Test
    fun `neither the first list nor a process that returns is new`() {
        expectThat(register(0, entry("a"), entry("b"))).isEmpty()
        expectThat(register(1_000)).isEmpty()
        expectThat(register(200_000, entry("a", sequence = 9), entry("b"))).isEmpty()
    }

    @Test
    fun `a new id and a new start time are cold, an earlier start time is not`() {
        register(0, entry("a", born = 5))
        expectThat(register(100, entry("a", born = 6), entry("b"))).isEqualTo(listOf("a/6" to 8_100L, "b/1" to 8_100L))
        expectThat(register(200, entry("a", born = 5), entry("b"))).isEmpty()
    }

    // Guards against a limit that ends early or outlasts the cold time.
    @Test
    fun `the time stated by a registration counts from its reading, and renewals only shorten it`() {
        expectThat(register(0, entry("a", coldMs = 5_000))).isEqualTo(listOf("a/1" to 5_000L))
        expectThat(register(2_000, entry("a", coldMs = 2_500, sequence = 2))).isEqualTo(listOf("a/1" to 4_500L))
        expectThat(register(2_500, entry("a", coldMs = 2_400, sequence = 3))).isEmpty()
        expectThat(register(3_000, entry("a", coldMs = 5_000, sequence = 1))).isEmpty()
        expectThat(register(4_000, entry("a", coldMs = 0, sequence = 4))).isEqualTo(listOf("a/1" to 4_000L))
        expectThat(register(9_000, entry("a", coldMs = 5_000, sequence = 5))).isEqualTo(listOf("a/1" to 14_000L))
    }

    // Guards against upstreams that get their full share at the return of a data centre, by a registration from before it.
    @Test
    fun `the end of an evacuation lasts until a registration that can be later says otherwise`() {
        val first = entry("a", coldMs = 0)
        register(0, first)
        val change = upstreams.onEvacuationEnded(listOf(first), { 8_000 }, 1_000).single()
        expectThat(change.untilMs).isEqualTo(9_000)
        expectThat(register(1_500, entry("a", coldMs = 0, sequence = 2))).isEmpty()
        expectThat(register(5_000, entry("a", coldMs = 0, sequence = 3))).isEqualTo(listOf("a/1" to 5_000L))
    }

    @Test
    fun `an answer is exact, and a repeated answer changes nothing`() {
        register(0, entry("a"))
        expectThat(upstreams.onAnswer("a/1", "model", 4_000, 100)?.untilMs).isEqualTo(4_100)
        expectThat(upstreams.onAnswer("a/1", "model", 3_000, 1_110)).isNull()
        expectThat(register(1_200, entry("a", coldMs = 4_000, sequence = 2))).isEmpty()
        expectThat(upstreams.onAnswer("a/1", "model", 0, 2_000)?.untilMs).isEqualTo(2_000)
    }

    /** All instances of [views] want to send all the time; returns the most that arrived in one second. */
    private fun mostInOneSecond(views: Map<InstanceId, List<InstanceId>>, perSecond: Double, restartsEveryMs: Long?): Int {
        val random = Random(views.size)
        val limits = views.keys.associateWithTo(HashMap()) { started(it, views, perSecond, isFresh = true, nowMs = 0) }
        val arrivalsMs = ArrayList<Long>()
        for (nowMs in 0L until 7_900L step 10) {
            if (restartsEveryMs != null && nowMs % restartsEveryMs == 0L && nowMs > 0) {
                views.keys.shuffled(random).take(views.size / 4).forEach {
                    limits[it] = started(it, views, perSecond, isFresh = false, nowMs)
                }
            }
            limits.forEach { (id, own) ->
                if (!own.maySend("a/1", views.getValue(id), nowMs)) return@forEach
                own.onSend("a/1", views.getValue(id), nowMs)
                arrivalsMs += nowMs + random.nextLong(100)
            }
        }
        return arrivalsMs.maxOf { first -> arrivalsMs.count { it in first until first + 1_000 } }
    }

    private fun started(
        id: InstanceId,
        views: Map<InstanceId, List<InstanceId>>,
        perSecond: Double,
        isFresh: Boolean,
        nowMs: Long,
    ) = UpstreamLimits(id).apply {
        onCold("a/1", ColdRate(perSecond, ColdBound()), untilMs = 8_000, isFresh, views.getValue(id), nowMs)
    }

    // Guards against a cold upstream that crashes because instances disagree on the fleet, or forget at a restart what they sent.
    @Test
    fun `the sum stays within the bound with agreeing, growing and disjoint views, and with restarts`() {
        val fleet = (1..126).map { InstanceId("entry-$it") }
        val old = fleet.take(72)
        val cases = listOf(
            fleet.associateWith { fleet },
            old.take(6).associateWith { old.take(6) },
            fleet.associateWith { if (it in old && it.value.last() in "02468") old else fleet },
            fleet.associateWith { if (it in old) old else fleet - old.toSet() },
            fleet.take(12).associateWith { if (it in fleet.take(6)) fleet.take(6) else fleet.subList(6, 12) },
        )
        for (views in cases) {
            for (perSecond in listOf(0.4, 1.0, 8.0, 20.0, 60.0)) {
                for (restartsEveryMs in listOf(null, 1_500L)) {
                    expectThat(mostInOneSecond(views, perSecond, restartsEveryMs))
                        .isLessThanOrEqualTo(ColdBound().maxPerSecond(perSecond))
                }
            }
        }
    }

    // Guards against a cold upstream that is kept idle, or limited after its time.
    @Test
    fun `a cold upstream gets at least half of its rate, and without limit once it is not cold`() {
        val fleet = (1..72).map { InstanceId("entry-$it") }
        val all = fleet.associateWith { started(it, fleet.associateWith { fleet }, 20.0, isFresh = true, nowMs = 0) }
        val sent = (0L until 8_000L step 10).sumOf { nowMs ->
            all.values.count { own -> own.maySend("a/1", fleet, nowMs).also { if (it) own.onSend("a/1", fleet, nowMs) } }
        }
        expectThat(sent >= 80).isEqualTo(true)
        expectThat(all.values.all { it.maySend("a/1", fleet, 8_000) }).isEqualTo(true)
    }

    // Guards against requests that wait in vain, behind others that wait for the same send.
    @Test
    fun `a request waits for a send of its own that is in time`() {
        val wait = CallerWait(sinceMs = 0, targetMs = 300, leavesAtMs = 2_000)
        expectThat(limitWaitMs(listOf(100, 200, 400), waiting = 1, wait, nowMs = 50)).isEqualTo(200)
        expectThat(limitWaitMs(listOf(100, 200, 400), waiting = 2, wait, nowMs = 50)).isNull()
        expectThat(limitWaitMs(emptyList(), waiting = 0, wait, nowMs = 50)).isNull()
    }
}
