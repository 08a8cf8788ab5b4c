package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** Load pattern of all tests: bursts of digests (rank 2) among short messages (rank 0) and reviews (rank 1). */
class RankedPlacementRuleTest {
    private val rule = RankedPlacementRule(Random(1))
    private val shortStreams = UpstreamWork(running = 3, shortStreams = 3, levels = StreamLevels.of { if (it == 0) 3 else 0 })
    private val digestStream = UpstreamWork(running = 1, levels = StreamLevels.of { if (it == 2) 1 else 0 })

    private fun fleet(count: Int, work: (Int) -> UpstreamWork) = (1..count).map { view("engine-$it", work(it)) }

    private fun demand(level: Int, tokens: Long, waitedMs: Long = 0): RankedDemand {
        val route = ROUTES[level]
        val wait = CallerWait(NOW_MS - waitedMs, route.targetMs, NOW_MS - waitedMs + 15_000)
        return RankedDemand(RequestSize(tokens, 700), wait, StatedRank(level, RANKS))
    }

    private fun place(demand: RankedDemand, views: List<UpstreamView>, rule: RankedPlacementRule = this.rule) =
        rule.place(demand, PROFILE, views, knownShare = 1.0, NOW_MS)

    private fun enginesOf(decision: RankedDecision): List<Int> {
        val placement = (decision as RankedDecision.Send).placement
        return (placement.helpers.map { it.upstream } + placement.upstream).map { it.id.value.removePrefix("engine-").toInt() }
    }

    // Guards against prefills that stall the streams of all engines.
    @Test
    fun `a prompt uses only engines without streams that outrank it, and no more than its target and its own streams need`() {
        repeat(20) {
            val engines = enginesOf(place(demand(2, 190_000), fleet(18) { if (it <= 9) shortStreams else UpstreamWork() }))
            expectThat(engines).all { isGreaterThan(9) }
            expectThat(engines.size).isLessThanOrEqualTo(9)
        }
    }

    @Test
    fun `a prompt waits while all engines have streams that outrank it and it can still be in time`() {
        expectThat(place(demand(2, 190_000), fleet(18) { shortStreams })).isA<RankedDecision.Wait>()
            .get { inputs.isLate }.isFalse()
    }

    // Guards against later prompts that take the engines which a waiting prompt would get next, and against engines that are kept for one that
    // may not use them or can no longer be in time.
    @Test
    fun `a prompt that waits in time names the engines it would get, and otherwise none`() {
        val busy = fleet(18) { digestStream.copy(pendingPrefillMs = 1_200.0) }
        fun enginesAfter(waitedMs: Long, views: List<UpstreamView>) =
            (place(demand(2, 190_000, waitedMs = waitedMs), views) as RankedDecision.Wait).engines
        expectThat(enginesAfter(0, busy).size).isIn(1..17)
        expectThat(enginesAfter(6_000, busy)).isEmpty()
        expectThat(enginesAfter(0, fleet(18) { shortStreams })).isEmpty()
    }

    // Guards against short streams that pause because a review is prefilled beside them in one piece.
    @Test
    fun `beside streams that outrank it a prompt is prefilled in parts that leave them within their target`() {
        val engines = enginesOf(place(demand(1, 45_000), fleet(18) { shortStreams }))
        expectThat(PROFILE.prefillMs(45_000) / engines.size).isLessThanOrEqualTo(125.0)
    }

    // Guards against digests that stall each other.
    @Test
    fun `a prompt avoids engines where it would stall a stream of its own level`() {
        val busy = digestStream.copy(pendingPrefillMs = 600.0)
        val engines = enginesOf(place(demand(2, 190_000), fleet(18) { if (it <= 8) busy else UpstreamWork() }))
        expectThat(engines).all { isGreaterThan(8) }
    }

    @Test
    fun `a prompt that outranks the streams beside it may delay them`() {
        expectThat(place(demand(1, 45_000), fleet(18) { digestStream })).isA<RankedDecision.Send>()
    }

    // Guards against short messages that are late although an engine is free, which a sample of three rarely contains.
    @Test
    fun `a short prompt finds the few engines without pending prefill`() {
        val prefilling = digestStream.copy(pendingPrefillMs = 1_000.0)
        repeat(50) {
            val decision = place(
                demand(0, 5_000),
                fleet(78) {
                    if (it % 8 ==
                        0
                    ) {
                        UpstreamWork()
                    } else {
                        prefilling
                    }
                },
                RankedPlacementRule(Random(it)),
            )
            expectThat(enginesOf(decision).single() % 8).isEqualTo(0)
        }
    }

    @Test
    fun `a short prompt that is late everywhere is sent nevertheless`() {
        val decision = place(demand(0, 5_000), fleet(18) { digestStream.copy(pendingPrefillMs = 1_000.0 + it) })
        expectThat(decision).isA<RankedDecision.Send>().get { inputs.isLate }.isTrue()
    }

    // Guards against a burst of short streams that occupies every engine, so that no digest ever begins.
    @Test
    fun `a burst of short prompts leaves engines for the largest prompt seen`() {
        val rule = RankedPlacementRule(Random(1))
        place(demand(2, 300_000), fleet(18) { UpstreamWork() }, rule)
        val full = UpstreamWork(running = 8, shortStreams = 8, levels = StreamLevels.of { if (it == 0) 8 else 0 })
        var views = fleet(18) { UpstreamWork() }
        repeat(18 * 8) {
            val used = enginesOf(place(demand(0, 5_000), views, rule)).single()
            views = views.map { if (it.entry.id.value == "engine-$used") it.copy(work = it.work + full.perStream()) else it }
        }
        expectThat(views.count { it.work.running == 0 }).isGreaterThanOrEqualTo(3)
        expectThat(place(demand(2, 300_000), views, rule)).isA<RankedDecision.Send>()
    }

    private fun UpstreamWork.perStream() = copy(running = 1, shortStreams = 1, levels = StreamLevels.of { if (it == 0) 1 else 0 })

    @Test
    fun `without a demand of lower ranks short streams may use all engines`() {
        val settings = RankedPlacementSettings()
        val reserve = LowerRankReserve(settings)
        val views = fleet(18) { UpstreamWork() }
        reserve.onDemand(demand(2, 300_000), NOW_MS)
        val rank = StatedRank(0, RANKS)
        expectThat(reserve.engines(rank, PROFILE, views, NOW_MS + 1_000)).isGreaterThanOrEqualTo(3)
        expectThat(reserve.engines(rank, PROFILE, views, NOW_MS + 61_000)).isEqualTo(0)
    }

    // Guards against late digests that never run, and against ones that take the engines of those that can be in time.
    @Test
    fun `a prompt that cannot be in time waits for idle engines until its caller is about to leave`() {
        val busy = fleet(18) { digestStream.copy(pendingPrefillMs = 1_200.0) }
        expectThat(place(demand(2, 190_000, waitedMs = 6_000), busy)).isA<RankedDecision.Wait>()
        expectThat(place(demand(2, 190_000, waitedMs = 6_000), fleet(18) { UpstreamWork() })).isA<RankedDecision.Send>()
        expectThat(place(demand(2, 190_000, waitedMs = 12_300), busy)).isA<RankedDecision.Send>()
        expectThat(place(demand(2, 190_000, waitedMs = 14_500), busy)).isA<RankedDecision.Reject>()
    }

    @Test
    fun `a prompt larger than an engine's memory is held in parts that fit`() {
        val placement = (place(demand(2, 600_000), fleet(18) { UpstreamWork() }) as RankedDecision.Send).placement
        val held = placement.helpers.maxOf { it.reservedTokens }
        expectThat(held).isLessThanOrEqualTo((PROFILE.kvCapacityTokens * 0.6).toLong())
        expectThat(600_700 - placement.helpers.sumOf { it.reservedTokens }).isLessThanOrEqualTo(PROFILE.kvCapacityTokens)
        expectThat(place(demand(2, 600_000), fleet(3) { UpstreamWork() })).isEqualTo(RankedDecision.NoUpstream)
    }

    // Guards against streams of instances of the version before, which report no levels, that do not count at all.
    @Test
    fun `short streams without a known level count as those with the smallest target pause`() {
        val unknown = UpstreamWork(running = 3, shortStreams = 3)
        val engines = enginesOf(place(demand(2, 190_000), fleet(18) { if (it <= 9) unknown else UpstreamWork() }))
        expectThat(engines.filter { it <= 9 }).isEmpty()
        expectThat(outranking(UpstreamWork(running = 3, shortStreams = 1), 1, RANKS)).isEqualTo(1)
        expectThat(outranking(UpstreamWork(running = 3, shortStreams = 1), 0, RANKS)).isEqualTo(0)
    }

    // Guards against an instance whose reports have stopped arriving and that takes all engines for free of streams.
    @Test
    fun `an instance that knows few of the others leaves the shared engines to streams that outrank the prompt`() {
        val views = fleet(18) { if (it == 1) shortStreams else UpstreamWork() }
        val shared = views.sortedBy {
            it.entry.id.value.hashCode()
        }.take(4).map { it.entry.id.value.removePrefix("engine-").toInt() }
        val decision = rule.place(demand(2, 190_000), PROFILE, views, knownShare = 1.0 / 6, NOW_MS)
        expectThat(enginesOf(decision).filter { it in shared }).isEmpty()
    }

    @Test
    fun `what counts as short follows from the pauses of the level and of those that outrank it`() {
        expectThat(demand(0, 19_000).isShort(PROFILE)).isTrue()
        expectThat(demand(1, 30_000).isShort(PROFILE)).isFalse()
        expectThat(demand(0, 26_000).isShort(PROFILE)).isFalse()
        expectThat(demand(0, 26_000).isShort(PROFILE.copy(prefillTokensPerMs = 412.0))).isTrue()
    }

    @Test
    fun `a request that outranks another is more urgent at the engine whatever their sizes`() {
        val sizes = listOf(5_000L, 50_000L, 500_000L).map { RequestSize(it, 100) }
        val urgencies = (0..2).map { level -> sizes.map { urgencyOf(it, StatedRank(level, RANKS)) } }
        expectThat(urgencies).isEqualTo(listOf(listOf(0, 1, 2), listOf(3, 4, 5), listOf(6, 7, 8)))
        expectThat(sizes.map { urgencyOf(it, null) }).isEqualTo(sizes.map { urgencyOf(it) })
    }

    @Test
    fun `counts of streams by level are added and subtracted without becoming negative`() {
        val a = StreamLevels.of { it }
        expectThat((a + a)[7]).isEqualTo(14)
        expectThat((a - (a + a)).total).isEqualTo(0)
        expectThat(a.before(3)).isEqualTo(3)
        expectThat((StreamLevels.of { 200 } + StreamLevels.of { 200 })[0]).isEqualTo(StreamLevels.MAX_COUNT)
    }

    private companion object {
        const val NOW_MS = 100_000L
        val PROFILE = EngineProfile(
            slots = 8,
            kvCapacityTokens = 197_200,
            prefillTokensPerMs = 206.0,
            attentionMsPerMillionPairs = 0.138,
            passMs = 49.0,
        )
        val ROUTES = listOf(259L to 250L, 1_514L to 600L, 6_024L to 1_000L).mapIndexed { level, (targetMs, pauseMs) ->
            route(prefix = "/$level/").copy(name = "r$level", priority = level, targetMs = targetMs, gapTargetMs = pauseMs)
        }
        val RANKS = RoutingTable(config(1, *ROUTES.toTypedArray())).let { table ->
            checkNotNull(table.ranksOf("model")).also { ranks ->
                check(ROUTES.map { ranks.levelOf(table.rankOf(it, OrganisationId("caterer"))) } == listOf(0, 1, 2))
            }
        }
    }
}
