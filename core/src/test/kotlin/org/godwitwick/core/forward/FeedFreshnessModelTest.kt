package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo

/**
 * Model check of [FeedFreshness]: explores all interleavings of the steps by which a proven time reaches a follower. The steps
 * are reads of the store, requests and answers in flight, takeover by a second reader, and the passing of time, in which at most
 * one process is suspended and its steady clock stops. In each state the age that the follower computes must not be less than the
 * true age.
 */
class FeedFreshnessModelTest {
    private data class Clock(val steadyMs: Long, val wallMs: Long) {
        fun reading() = ClockReading(steadyMs, wallMs)

        fun after(isSuspended: Boolean) = copy(
            steadyMs = if (isSuspended) steadyMs else steadyMs + TICK_MS,
            wallMs = wallMs + TICK_MS,
        )
    }

    /** A point in time on the clocks of an instance, and the true time. */
    private data class TimedReading(val reading: ClockReading, val trueMs: Long)

    private data class Reader(
        val clock: Clock,
        val readSentAt: TimedReading? = null,
        val proven: TimedReading? = null,
        val requestAt: ClockReading? = null,
    )

    private data class State(
        val trueMs: Long = 0,
        val readers: List<Reader> = listOf(Reader(Clock(500, 90_000)), Reader(Clock(7_000, 10_000))),
        val followerClock: Clock = Clock(3_000, 40_000),
        val asked: Pair<Int, ClockReading>? = null,
        // Lead and true proven time of the answer in flight.
        val answer: Pair<Long, Long>? = null,
        val receivedProof: TimedReading? = null,
    )

    private fun State.with(reader: Int, change: Reader.() -> Reader) =
        copy(readers = readers.mapIndexed { i, it -> if (i == reader) it.change() else it })

    private fun State.next(): List<State> = buildList {
        if (trueMs < END_MS) (-1..readers.size).forEach { add(afterTick(suspended = it)) }
        readers.forEachIndexed { i, reader ->
            if (reader.readSentAt == null) add(with(i) { copy(readSentAt = TimedReading(clock.reading(), trueMs)) })
            // An answer of the store proves the time at which the read was sent, not the time at which the answer arrived.
            if (reader.readSentAt != null) add(with(i) { copy(proven = readSentAt, readSentAt = null) })
            if (asked?.first == i && reader.requestAt == null && answer == null) {
                add(with(i) { copy(requestAt = clock.reading()) })
            }
            val proven = reader.proven
            if (reader.requestAt != null && proven != null && asked?.first == i) {
                add(
                    with(i) { copy(requestAt = null) }.copy(
                        answer = FeedFreshness.leadMs(proven.reading, reader.requestAt) to proven.trueMs,
                    ),
                )
            }
        }
        if (asked == null) readers.indices.forEach { add(copy(asked = it to followerClock.reading())) }
        if (asked != null && answer != null) {
            val proof = TimedReading(FeedFreshness.provenAt(asked.second, answer.first), answer.second)
            add(copy(asked = null, answer = null, receivedProof = proof))
        }
        // The follower abandons a request and may ask the other reader; a late answer is dropped.
        if (asked != null) add(copy(asked = null, answer = null, readers = readers.map { it.copy(requestAt = null) }))
    }

    private fun State.afterTick(suspended: Int) = copy(
        trueMs = trueMs + TICK_MS,
        readers = readers.mapIndexed { i, it -> it.copy(clock = it.clock.after(isSuspended = i == suspended)) },
        followerClock = followerClock.after(isSuspended = suspended == readers.size),
    )

    @Test
    fun `a follower never underestimates the age of its proof under any interleaving`() {
        val seen = HashSet<State>()
        var open = listOf(State())
        var proofs = 0
        while (open.isNotEmpty()) {
            open.forEach { state ->
                val receivedProof = state.receivedProof ?: return@forEach
                proofs++
                val computedAgeMs = state.followerClock.reading().maxElapsedMsSince(receivedProof.reading)
                expectThat(computedAgeMs).isGreaterThanOrEqualTo(state.trueMs - receivedProof.trueMs)
            }
            open = open.flatMap { it.next() }.filter(seen::add)
        }
        expectThat(proofs).isGreaterThan(10_000)
    }

    private companion object {
        const val TICK_MS = 100L
        const val END_MS = 200L
    }
}
