package org.godwitwick.node.forward

import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

class PeerLoadsTest {
    private fun upstream(id: String, startedAtMs: Long = 1) =
        UpstreamEntry(InstanceId(id), "llm", "10.0.0.1:1", "dc", 8, isLeaving = false, startedAtMs)

    private val upstreams = (1..8).map { upstream("engine-$it") }
    private val random = Random(1)

    private fun work() = random.nextInt(1, 4).let { UpstreamWork(random.nextInt(500).toDouble(), it, it - 1, it, 1_000L * it) }

    private fun report(scope: LoadScope, dataCentre: String = ""): ForwardLoad {
        val rows = upstreams.filter { random.nextInt(3) > 0 }.associate { ForwardLoad.keyOf(it.id) to work() }
        return ForwardLoad.of(rows, nowMs, random.nextInt(1, 4), scope, dataCentre)
    }

    private var nowMs = 0L

    /** Adds up the fresh reports for each question. */
    private class Model {
        val partial = HashMap<String, Pair<ForwardLoad, Long>>()
        var total: Pair<ForwardLoad, Long>? = null

        fun sources(nowMs: Long): List<ForwardLoad> {
            val fresh = partial.values.filter { nowMs - it.second <= MAX_AGE_MS }.map { it.first }
            val fleet = total?.takeIf { nowMs - it.second <= MAX_AGE_MS }?.first
            return if (fleet != null && fleet.instances > fresh.sumOf { it.instances }) listOf(fleet) else fresh
        }

        fun workAt(entry: UpstreamEntry, nowMs: Long): UpstreamWork =
            sources(nowMs).mapNotNull { it.byUpstream()[ForwardLoad.keyOf(entry.id)] }.fold(UpstreamWork(), UpstreamWork::plus)
    }

    // Guards against work that counts for ever or not at all because a change of the sums was missed: a report that replaces one, a
    // sender that falls silent and returns, a change between the two kinds of reports, and registrations that change.
    @Test
    fun `sums that are changed by each report equal those that are added up again`() {
        val peerLoads = PeerLoads()
        val model = Model()
        repeat(3_000) {
            nowMs += random.nextLong(if (random.nextInt(50) == 0) 2_000 else 150)
            val sender = random.nextInt(1, 5)
            when (random.nextInt(5)) {
                0 -> report(LoadScope.FLEET).let {
                    peerLoads.onReport(InstanceId("entry-$sender"), it, nowMs)
                    model.total = it to nowMs
                }

                1 -> report(LoadScope.DATA_CENTRE, "dc-$sender").let {
                    peerLoads.onReport(InstanceId("entry-9"), it, nowMs)
                    model.partial["dc-$sender"] = it to nowMs
                }

                else -> report(LoadScope.INSTANCE).let {
                    peerLoads.onReport(InstanceId("entry-$sender"), it, nowMs)
                    model.partial["entry-$sender"] = it to nowMs
                }
            }
            nowMs += random.nextLong(100)
            val known = peerLoads.at(nowMs)
            expectThat(known.instances).isEqualTo(model.sources(nowMs).sumOf { it.instances })
            expectThat(upstreams.map(known::workAt)).isEqualTo(upstreams.map { model.workAt(it, nowMs) })
            val registered = upstreams.filter { random.nextInt(10) > 0 || nowMs / 1_000 % 2 == 0L }
            expectThat(known.shortStreamsAt(UpstreamList.of(registered)))
                .isEqualTo(registered.sumOf { model.workAt(it, nowMs).shortStreams })
        }
    }

    // Guards against waiting prompts that are not placed again after a report of less work, and against a deadlock: they read the loads from
    // other threads while the listener runs.
    @Test
    fun `a report of less work is announced once, while others can read the loads`() {
        var announced = 0
        lateinit var peerLoads: PeerLoads
        peerLoads = PeerLoads {
            announced++
            CompletableFuture.supplyAsync { peerLoads.at(0).instances + peerLoads.recentWork(0).size }.get(10, TimeUnit.SECONDS)
        }
        fun report(sentAtMs: Long, running: Int) {
            val work = mapOf(ForwardLoad.keyOf(upstreams.first().id) to UpstreamWork(running = running))
            peerLoads.onReport(InstanceId("entry-1"), ForwardLoad.of(work, sentAtMs), 0)
        }
        listOf(100L to 2, 300L to 3, 200L to 1).forEach { (sentAtMs, running) -> report(sentAtMs, running) }
        expectThat(announced).isEqualTo(0)
        report(400, 1)
        expectThat(announced).isEqualTo(1)
    }

    // Guards against a sum that keeps the streams of a process that has been replaced, or subtracts them twice.
    @Test
    fun `the short streams of this instance are those of the present processes`() {
        val loads = UpstreamLoads()
        val list = UpstreamList.of(upstreams)
        fun begin(entry: UpstreamEntry) = loads.begin(PlacedWork(Placement(entry, emptyList()), 0.0, 1, isShortStream = true), 0)
        expectThat(loads.shortStreamsAt(list)).isEqualTo(0)
        val work = upstreams.flatMap { listOf(begin(it), begin(it)) }
        begin(upstream("other"))
        expectThat(loads.shortStreamsAt(list)).isEqualTo(16)
        expectThat(loads.shortStreamsAt(UpstreamList.of(upstreams.drop(3)))).isEqualTo(10)
        val restarted = upstream("engine-1", startedAtMs = 2)
        val next = begin(restarted)
        expectThat(loads.shortStreamsAt(list)).isEqualTo(15)
        work.forEach { it.end() }
        expectThat(loads.shortStreamsAt(list)).isEqualTo(1)
        next.end()
        expectThat(loads.shortStreamsAt(list)).isEqualTo(0)
    }

    private companion object {
        const val MAX_AGE_MS = 1_000L
    }
}
