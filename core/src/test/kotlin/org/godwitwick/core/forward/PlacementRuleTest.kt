package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class PlacementRuleTest {
    private val rule = PlacementRule(Random(1))
    private val short = RequestSize(5_000, 1_376)
    private val digest = RequestSize(133_000, 688)
    private val reading = UpstreamWork(pendingReadMs = 500.0, running = 1)
    private val writing = UpstreamWork(running = 3, shortStreams = 3)

    private fun fleet(count: Int, work: (Int) -> UpstreamWork) = (1..count).map { view("engine-$it", work(it)) }

    @Test
    fun `without an upstream nothing is placed`() {
        expectThat(rule.place(emptyList())).isNull()
        expectThat(rule.place(short, engineProfile, emptyList())).isNull()
    }

    @Test
    fun `a plain request goes to the upstream with the least work and without recent failures`() {
        val views = listOf(view("busy", UpstreamWork(running = 4)), view("failing", penaltyMs = 400.0), view("idle"))
        expectThat(rule.place(views)?.upstream?.id?.value).isEqualTo("idle")
    }

    // The load pattern: long reads at three times their usual rate beside short streams.
    @Test
    fun `a long prompt is read by engines without short streams while there are enough of them`() {
        val placement = rule.place(digest, engineProfile, fleet(23) { if (it <= 6) writing else UpstreamWork() })
        val members = placement?.let { listOf(it.upstream) + it.helpers.map(Helper::upstream) }.orEmpty().map { it.id.value }
        expectThat(members.size).isGreaterThanOrEqualTo(10)
        expectThat(members).all { get { removePrefix("engine-").toInt() }.isGreaterThanOrEqualTo(7) }
    }

    // The load pattern: short prompts at three times their usual rate, so that every engine streams.
    @Test
    fun `a long prompt among short streams is read in parts that stay within a pause`() {
        val placement = rule.place(digest, engineProfile, fleet(23) { writing })
        val partMs = placement?.let { engineProfile.readMs(digest.promptTokens) / (it.helpers.size + 1) }
        expectThat(partMs).isNotNull().isLessThanOrEqualTo(125.0)
    }

    @Test
    fun `a short prompt avoids engines that read a long one`() {
        repeat(50) {
            val placement = rule.place(short, engineProfile, fleet(10) { if (it <= 8) reading else UpstreamWork() })
            val load = placement?.upstream?.id?.value?.removePrefix("engine-")?.toInt()
            expectThat(load).isNotNull()
            expectThat(placement?.helpers.orEmpty()).isEmpty()
        }
    }

    @Test
    fun `few short streams share few engines`() {
        val used = (1..200).mapNotNull { rule.place(short, engineProfile, fleet(23) { UpstreamWork() })?.upstream }.toSet()
        expectThat(used.size).isLessThanOrEqualTo(6)
    }

    // Guards against long reads of an instance that is cut off from the others and knows little of their streams.
    @Test
    fun `an instance that hears nobody keeps its long prompts off the engines that the others share`() {
        val others = (1..20).flatMap {
            PlacementRule(Random(it)).let { rule -> (1..5).mapNotNull { rule.place(short, engineProfile, known()) } }
        }
        val own = known()
        val placement = rule.place(digest, engineProfile, own, knownShare = 1.0 / 6)
        val members = placement?.let { listOf(it.upstream) + it.helpers.map(Helper::upstream) }.orEmpty().toSet()
        expectThat(others.map { it.upstream }.filter { it in members }).isEmpty()
    }

    private fun known() = fleet(23) { UpstreamWork() }

    @Test
    fun `a prompt that is larger than one engine's memory is spread over reservations that hold it`() {
        val large = RequestSize(593_000, 1_677)
        val placement = rule.place(large, engineProfile, fleet(23) { UpstreamWork() })
        val reserved = placement?.helpers.orEmpty().sumOf { it.reservedTokens }
        expectThat(large.memoryTokens - reserved).isLessThanOrEqualTo(engineProfile.memoryTokens)
        expectThat(placement?.helpers.orEmpty().size).isLessThanOrEqualTo(16)
    }

    @Test
    fun `a prompt that all engines together can not hold is not placed`() {
        expectThat(rule.place(RequestSize(593_000, 1_677), engineProfile, fleet(3) { UpstreamWork() })).isNull()
    }
}
