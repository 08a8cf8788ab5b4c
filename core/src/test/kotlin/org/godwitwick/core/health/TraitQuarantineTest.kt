package org.godwitwick.core.health

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Which traits are refused after upstreams have crashed, for the patterns of crashes that occur. */
class TraitQuarantineTest {
    private val quarantine = TraitQuarantine()
    private val deadly = RequestTrait.ofPart("dead")
    private val common = RequestTrait.ofPart("aaaa")

    private fun own(number: Int) = RequestTrait.ofRequest("/draft/$number", "key", byteArrayOf())

    // Guards against different requests at different instances that crash one upstream after another because of one common part.
    @Test
    fun `a part is refused once three upstreams have crashed with it, and the parts beside it are not`() {
        (1..3).forEach { number ->
            expectThat(quarantine.quarantined).isEmpty()
            quarantine.onCrash("engine-$number", listOf(common, deadly, own(number)), number * 300L)
            quarantine.onSound(listOf(common), number * 300L + 50)
        }
        expectThat(quarantine.quarantined).isEqualTo(setOf(deadly))
    }

    // Guards against the refusal of requests that happened to wait beside the deadly ones at several upstreams.
    @Test
    fun `what was lost beside a quarantined part is not refused`() {
        val unlucky = RequestTrait.ofPart("beef")
        (1..4).forEach { number -> quarantine.onCrash("engine-$number", listOf(deadly, own(number)), number * 300L) }
        (1..3).forEach { number -> quarantine.onCrash("engine-$number", listOf(unlucky), number * 300L + 2) }
        expectThat(quarantine.quarantined).isEqualTo(setOf(deadly))
    }

    // Guards against the refusal of sound requests after a rack or a data centre was lost.
    @Test
    fun `upstreams that are lost at the same time count once`() {
        (1..8).forEach { number -> quarantine.onCrash("engine-$number", listOf(common), 1_000L + number * 5) }
        expectThat(quarantine.quarantined).isEmpty()
    }

    @Test
    fun `an answer ends the quarantine`() {
        (1..3).forEach { number -> quarantine.onCrash("engine-$number", listOf(deadly), number * 300L) }
        quarantine.onSound(listOf(deadly), 2_000)
        expectThat(quarantine.quarantined).isEmpty()
    }

    // Guards against one request with a unique part being refused for the part, which would also refuse later requests.
    @Test
    fun `a request that is repeated is refused as a whole if its parts do not explain more crashes`() {
        (1..3).forEach { number -> quarantine.onCrash("engine-$number", listOf(deadly, own(1)), number * 300L) }
        expectThat(quarantine.quarantined).isEqualTo(setOf(own(1)))
    }

    @Test
    fun `a quarantine ends some time after the last crash`() {
        (1..3).forEach { number -> quarantine.onCrash("engine-$number", listOf(deadly), number * 300L) }
        quarantine.expire(TraitQuarantine.QUARANTINE_MS)
        expectThat(quarantine.quarantined).contains(deadly)
        quarantine.expire(TraitQuarantine.QUARANTINE_MS + 901)
        expectThat(quarantine.quarantined).isEmpty()
    }

    // Guards against instances of which each saw too few crashes to find the cause, and against different verdicts.
    @Test
    fun `instances that receive each other's rows in any order agree`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val observations = (1..6).map { number ->
                Pair("engine-$number", if (number <= 4) listOf(deadly, own(number)) else listOf(common, own(number)))
            }
            val first = TraitQuarantine()
            val second = TraitQuarantine()
            val rows = observations.map { (engine, traits) ->
                val reporter = if (random.nextBoolean()) first else second
                val atMs = engine.last().digitToInt() * 300L
                reporter.onCrash(engine, traits, atMs) to atMs
            }
            listOf(first, second).forEach { instance ->
                rows.shuffled(random).forEach { (sent, atMs) -> instance.merge(sent, atMs + random.nextLong(MAX_DELAY_MS)) }
            }
            expectThat(first.quarantined).isEqualTo(setOf(deadly))
            expectThat(second.quarantined).isEqualTo(setOf(deadly))
        }
    }

    @Test
    fun `the number of remembered traits is bounded, and quarantined ones are kept`() {
        (1..3).forEach { number -> quarantine.onCrash("engine-$number", listOf(deadly), number * 300L) }
        (1..5_000).forEach { number -> quarantine.onCrash("other-$number", listOf(own(number)), 2_000L + number) }
        expectThat(quarantine.suspected.size).isLessThanOrEqualTo(512)
        expectThat(quarantine.quarantined).contains(deadly)
    }

    private companion object {
        const val MAX_DELAY_MS = 80L
    }
}
