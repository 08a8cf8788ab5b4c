package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** The sum of what a fleet sends to one upstream that states a limit, in model time. */
class UpstreamLimitsTest {
    /** All instances want to send at each step of 10 ms; news arrives after [delayMs] at most. */
    private class Fleet(size: Int, private val perSecond: Double, seed: Int, private val limitEndsMs: Long = Long.MAX_VALUE) {
        private val random = Random(seed)
        private val ids = (1..size).map { InstanceId("entry-$it") }
        private val limits = ids.associateWith { UpstreamLimits(it) }
        private val informed = HashSet<InstanceId>()
        private val inTransit = ArrayList<Triple<Long, InstanceId, LimitNews>>()
        val arrivalsMs = ArrayList<Long>()

        /** Times at which an instance told all others what it knows. */
        val toldMs = ArrayList<Long>()

        /** What each instance takes for the fleet. */
        var view: (InstanceId) -> Collection<InstanceId> = { ids }

        fun run(untilMs: Long) {
            var nowMs = 0L
            while (nowMs < untilMs) {
                val arrived = inTransit.filter { it.first <= nowMs }
                inTransit.removeAll(arrived)
                arrived.forEach { (_, to, news) -> limits.getValue(to).onNews(news, view(to), nowMs) }
                // Only some callers have a request at a time.
                ids.shuffled(random).take(MOST_CALLERS).forEach { sendIfAllowed(it, nowMs) }
                nowMs += STEP_MS
            }
        }

        private fun sendIfAllowed(id: InstanceId, nowMs: Long) {
            val own = limits.getValue(id)
            if (!own.maySend(UPSTREAM, view(id), nowMs)) return
            own.onSend(UPSTREAM, view(id), nowMs)
            if (id in informed) arrivalsMs += nowMs
            informed += id
            val news = own.onAnswer(UPSTREAM, perSecond.takeIf { nowMs < limitEndsMs }, view(id), nowMs + 1) ?: return
            toldMs += nowMs
            ids.filter { it != id }.forEach { inTransit += Triple(nowMs + random.nextLong(MAX_DELAY_MS), it, news) }
        }

        fun mostIn(windowMs: Long, fromMs: Long): Int = arrivalsMs.filter { it >= fromMs }
            .maxOfOrNull { first -> arrivalsMs.count { it in first until first + windowMs } } ?: 0
    }

    private fun allowed(perSecond: Double) = (1.5 * 4 * perSecond + 5).toInt()

    // Guards against a sum that exceeds the limit because each instance counts only its own requests.
    @Test
    fun `the sum over 9, 95 and 520 instances stays within the limit`() {
        for (size in listOf(1, 9, 95, 520)) {
            for (perSecond in listOf(0.2, 1.0, 2.5, 8.0)) {
                val fleet = Fleet(size, perSecond, seed = size)
                fleet.run(15_000)
                expectThat(fleet.mostIn(4_000, fromMs = 3_000)).isLessThanOrEqualTo(allowed(perSecond))
            }
        }
    }

    // Guards against a limit that keeps an upstream idle.
    @Test
    fun `at least half of the limit is used`() {
        val fleet = Fleet(95, 4.0, seed = 1)
        fleet.run(15_000)
        expectThat(fleet.arrivalsMs.count { it >= 5_000 }).isGreaterThan(20)
    }

    // Guards against messages that grow with the number of senders, or that go on after a limit has ended.
    @Test
    fun `a limit that goes on is told about once a second by one instance, and one that has ended is not told again`() {
        val fleet = Fleet(95, 40.0, seed = 2, limitEndsMs = 10_000)
        fleet.run(20_000)
        expectThat(fleet.toldMs.count { it in 1_000 until 10_000 }).isLessThanOrEqualTo(2 * 9)
        expectThat(fleet.toldMs.count { it >= 11_000 }).isEqualTo(0)
    }

    // Guards against two sets of senders while instances disagree on who belongs to the fleet.
    @Test
    fun `the sum stays within the limit while instances disagree on the fleet`() {
        for (perSecond in listOf(1.0, 4.0)) {
            val fleet = Fleet(30, perSecond, seed = 3)
            val all = (1..30).map { InstanceId("entry-$it") }
            val fewer = all.drop(10)
            fleet.view = { id -> if (id.value.last() in "02468") all else fewer }
            fleet.run(15_000)
            expectThat(fleet.mostIn(4_000, fromMs = 3_000)).isLessThanOrEqualTo(allowed(perSecond))
        }
    }

    @Test
    fun `an instance that does not know the fleet sends nothing to a limited upstream`() {
        val limits = UpstreamLimits(InstanceId("entry-1"))
        limits.onNews(LimitNews(UPSTREAM, 100.0, 0), emptyList(), 0)
        expectThat(limits.maySend(UPSTREAM, emptyList(), 2_000)).isFalse()
    }

    @Test
    fun `a limit ends with an answer that states none, or when it is not stated for a while`() {
        val limits = UpstreamLimits(InstanceId("entry-1"))
        val fleet = (1..9).map { InstanceId("entry-$it") }
        limits.onAnswer(UPSTREAM, 1.0, fleet, 0)
        expectThat(limits.isLimited(UPSTREAM, 100)).isTrue()
        limits.onAnswer(UPSTREAM, null, fleet, 200)
        expectThat(limits.maySend(UPSTREAM, fleet, 201)).isTrue()
        limits.onAnswer(UPSTREAM, 1.0, fleet, 300)
        expectThat(limits.isLimited(UPSTREAM, 5_200)).isTrue()
        expectThat(limits.isLimited(UPSTREAM, 5_400)).isFalse()
    }

    // Guards against an older message that brings back a limit that has ended.
    @Test
    fun `news that is older than what is known is ignored`() {
        val limits = UpstreamLimits(InstanceId("entry-1"))
        val fleet = listOf(InstanceId("entry-1"))
        limits.onNews(LimitNews(UPSTREAM, null, ageMs = 10), fleet, 1_000)
        limits.onNews(LimitNews(UPSTREAM, 1.0, ageMs = 500), fleet, 1_100)
        expectThat(limits.isLimited(UPSTREAM, 1_200)).isFalse()
    }

    private companion object {
        const val UPSTREAM = "engine-1/1"
        const val STEP_MS = 10L
        const val MAX_DELAY_MS = 60L
        const val MOST_CALLERS = 40
    }
}
