package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class PlacementRuleTest {
    private val rule = PlacementRule(Random(1))
    private val pauses = PauseTargets(shortMs = 250.0, longMs = 800.0)
    private val short = PlacementDemand(RequestSize(5_000, 1_376), targetMs = 300, pauses)
    private val longPrompt = PlacementDemand(RequestSize(133_000, 688), targetMs = 2_500, pauses)
    private val prefilling = UpstreamWork(pendingPrefillMs = 500.0, running = 1)
    private val streaming = UpstreamWork(running = 3, shortStreams = 3)

    private fun fleet(count: Int, work: (Int) -> UpstreamWork) = (1..count).map { view("engine-$it", work(it)) }

    @Test
    fun `without candidates no request is placed`() {
        expectThat(rule.place(emptyList())).isNull()
        expectThat(rule.place(short, engineProfile, emptyList())).isNull()
    }

    @Test
    fun `a request without tokens goes to the upstream with the least work and without recent failures`() {
        val views = listOf(view("busy", UpstreamWork(running = 4)), view("failing", penaltyMs = 400.0), view("idle"))
        expectThat(rule.place(views)?.upstream?.id?.value).isEqualTo("idle")
    }

    // Load pattern: long prompts at three times their usual rate together with short streams.
    @Test
    fun `a long prompt is prefilled on engines without short streams if there are enough of them`() {
        val placement = rule.place(longPrompt, engineProfile, fleet(23) { if (it <= 6) streaming else UpstreamWork() })
        val members = placement?.let { listOf(it.upstream) + it.helpers.map(Helper::upstream) }.orEmpty().map { it.id.value }
        expectThat(members.size).isGreaterThanOrEqualTo(10)
        expectThat(members).all { get { removePrefix("engine-").toInt() }.isGreaterThanOrEqualTo(7) }
    }

    // Load pattern: short prompts at three times their usual rate, so that all engines have short streams.
    @Test
    fun `if all engines have short streams a long prompt is prefilled in parts shorter than the allowed pause`() {
        val placement = rule.place(longPrompt, engineProfile, fleet(23) { streaming })
        val partMs = placement?.let { engineProfile.prefillMs(longPrompt.size.promptTokens) / (it.helpers.size + 1) }
        expectThat(partMs).isNotNull().isLessThanOrEqualTo(125.0)
    }

    @Test
    fun `a short prompt is placed without helpers while engines prefill long prompts`() {
        repeat(50) {
            val placement = rule.place(short, engineProfile, fleet(10) { if (it <= 8) prefilling else UpstreamWork() })
            val engineIndex = placement?.upstream?.id?.value?.removePrefix("engine-")?.toInt()
            expectThat(engineIndex).isNotNull()
            expectThat(placement?.helpers.orEmpty()).isEmpty()
        }
    }

    @Test
    fun `short prompts share few engines while there are no short streams`() {
        val used = (1..200).mapNotNull { rule.place(short, engineProfile, fleet(23) { UpstreamWork() })?.upstream }.toSet()
        expectThat(used.size).isLessThanOrEqualTo(6)
    }

    // Guards against long prefills placed by an instance that is cut off from the others and knows few of their streams.
    @Test
    fun `an instance without reports from the others places long prompts outside the shared engines`() {
        val others = (1..20).flatMap {
            PlacementRule(Random(it)).let { rule -> (1..5).mapNotNull { rule.place(short, engineProfile, idleFleet()) } }
        }
        val own = idleFleet()
        val placement = rule.place(longPrompt, engineProfile, own, knownShare = 1.0 / 6)
        val members = placement?.let { listOf(it.upstream) + it.helpers.map(Helper::upstream) }.orEmpty().toSet()
        expectThat(others.map { it.upstream }.filter { it in members }).isEmpty()
    }

    private fun idleFleet() = fleet(23) { UpstreamWork() }

    @Test
    fun `a prompt larger than the KV cache of one engine is held by reservations on at most 16 helpers`() {
        val oversized = PlacementDemand(RequestSize(593_000, 1_677), targetMs = 2_500, pauses)
        val placement = rule.place(oversized, engineProfile, fleet(23) { UpstreamWork() })
        val reserved = placement?.helpers.orEmpty().sumOf { it.reservedTokens }
        expectThat(oversized.size.kvTokens - reserved).isLessThanOrEqualTo(engineProfile.kvCapacityTokens)
        expectThat(placement?.helpers.orEmpty().size).isLessThanOrEqualTo(16)
    }

    private fun membersOf(placement: Placement?): List<String> =
        placement?.let { listOf(it.upstream) + it.helpers.map(Helper::upstream) }.orEmpty().map { it.id.value }

    // Load pattern: very long prompts while some engines have no short streams. Guards against reservations on all other engines.
    @Test
    fun `a prompt larger than the KV cache of one engine uses only engines without short streams if they can hold it`() {
        val veryLong = PlacementDemand(RequestSize(300_000, 700), targetMs = 2_500, pauses)
        val placement = rule.place(veryLong, engineProfile, fleet(23) { if (it <= 8) streaming else UpstreamWork() })
        expectThat(membersOf(placement)).isNotEmpty().all { get { removePrefix("engine-").toInt() }.isGreaterThanOrEqualTo(9) }
    }

    // Load pattern: a very long prompt in a burst of short ones. Guards against one prefill that stalls the streams of all
    // engines.
    @Test
    fun `a prompt that stalls short streams in any case is prefilled on few engines within its target`() {
        val veryLong = PlacementDemand(RequestSize(300_000, 700), targetMs = 2_500, pauses)
        val members = membersOf(rule.place(veryLong, engineProfile, fleet(23) { UpstreamWork(running = it, shortStreams = it) }))
        val partMs = engineProfile.prefillMs(veryLong.size.promptTokens) / members.size
        expectThat(partMs).isLessThanOrEqualTo(veryLong.targetMs.toDouble())
        expectThat(members.size).isLessThanOrEqualTo(8)
        expectThat(members.map { it.removePrefix("engine-").toInt() }.sum()).isEqualTo((1..members.size).sum())
    }

    // Load pattern: all instances start at the same time after a power failure, and all callers reconnect together.
    @Test
    fun `an instance without reports from the others yet spreads short prompts over all engines`() {
        val used = (1..200).mapNotNull { rule.place(short, engineProfile, idleFleet(), knownShare = 0.0)?.upstream }.toSet()
        expectThat(used.size).isGreaterThanOrEqualTo(20)
    }

    // Load pattern: many instances place long prompts at the same time, before they have reports of each other's placements.
    @Test
    fun `instances of a oversized fleet with the same information choose different engines for long prompts`() {
        val placed = (1..5).map {
            membersOf(PlacementRule(Random(it)).place(longPrompt, engineProfile, fleet(78) { UpstreamWork() }))
        }
        expectThat(placed.flatten().toSet().size).isGreaterThanOrEqualTo(40)
    }

    // Guards against queues for slots while the number of short streams grows faster than it is reported.
    @Test
    fun `short prompts are spread over more engines if these have fewer slots`() {
        val small = engineProfile.copy(slots = 8)
        val views = fleet(78) { UpstreamWork(running = 2, shortStreams = 2) }
        fun used(profile: EngineProfile) = (1..2_000).mapNotNull { rule.place(short, profile, views)?.upstream }.toSet().size
        expectThat(used(small)).isGreaterThanOrEqualTo(used(engineProfile.copy(slots = 16)) + 10)
    }

    // Load pattern: long prompts at three times their usual rate and few short streams. Guards against engines that stay idle for
    // short requests while long prompts are queued.
    @Test
    fun `in a burst of long prompts engines that short requests share are used as well`() {
        val busy = UpstreamWork(pendingPrefillMs = 1_500.0, running = 4)
        val views = fleet(23) { if (it <= 15) busy else UpstreamWork(running = 1, shortStreams = 1) }
        val members = membersOf(rule.place(longPrompt, engineProfile, views))
        expectThat(members).isNotEmpty().all { get { removePrefix("engine-").toInt() }.isGreaterThanOrEqualTo(16) }
    }

    @Test
    fun `a prompt that exceeds the KV cache of all engines together is not placed`() {
        expectThat(
            rule.place(
                PlacementDemand(RequestSize(593_000, 1_677), 2_500, pauses),
                engineProfile,
                fleet(3) {
                    UpstreamWork()
                },
            ),
        ).isNull()
    }
}
