package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

/** Instances that tell each other which requests upstreams crash with, in model time. */
class QuarantineExchangeTest {
    private class Fleet(count: Int) {
        var nowMs = 0L
        var messages = 0
        val unreachable = HashSet<InstanceId>()
        val guards = LinkedHashMap<InstanceId, CrashGuard>()
        private val due = ArrayList<InstanceId>()
        private val exchanges = HashMap<InstanceId, QuarantineExchange>()

        init {
            repeat(count) { join("entry-$it") }
        }

        fun join(name: String): CrashGuard {
            val self = InstanceId(name)
            val guard = CrashGuard({ nowMs }, {}) { rows -> if (exchanges.getValue(self).offer(rows)) due += self }
            exchanges[self] = QuarantineExchange(guard::lastingRows, Random(count())) { to, message ->
                messages++
                if (self !in unreachable && to !in unreachable) guards.getValue(to).onRows(name, message.rows)
            }
            guards[self] = guard
            return guard
        }

        private fun count() = guards.size

        /** Sends what was offered since the last call. */
        fun flush() {
            val senders = due.toList()
            due.clear()
            senders.forEach { self -> exchanges.getValue(self).flush(guards.keys - self) }
        }

        fun rounds(count: Int) = repeat(count) {
            nowMs += 500
            exchanges.forEach { (self, exchange) -> exchange.round(guards.keys - self) }
        }

        fun crash(number: Int, reporter: CrashGuard) {
            nowMs += 300
            reporter.onLost(engine(number), request("dead", number), byteArrayOf(1))
            flush()
        }
    }

    private val body = byteArrayOf(9)

    // Guards against instances that each see one crash and go on sending such requests.
    @Test
    fun `a part that crashed engines at different instances is refused by all at once, and other parts are not`() {
        val fleet = Fleet(9)
        fleet.guards.values.take(3).forEachIndexed { number, guard -> fleet.crash(number, guard) }
        expectThat(fleet.guards.values.map { it.quarantinedTraitOf(request("dead", 99), body) }).all { isNotNull() }
        expectThat(fleet.guards.values.map { it.quarantinedTraitOf(request("beef", 99), body) }).all { isNull() }
    }

    // Guards against an instance that starts, or was cut off, while such requests still come.
    @Test
    fun `an instance that joins or was unreachable refuses it within two seconds`() {
        val fleet = Fleet(9)
        val cutOff = fleet.guards.keys.last()
        fleet.unreachable += cutOff
        repeat(3) { fleet.crash(it, fleet.guards.values.first()) }
        expectThat(fleet.guards.getValue(cutOff).quarantinedTraitOf(request("dead", 99), body)).isNull()
        fleet.unreachable.clear()
        val joined = fleet.join("entry-new")
        fleet.rounds(4)
        expectThat(fleet.guards.getValue(cutOff).quarantinedTraitOf(request("dead", 99), body)).isNotNull()
        expectThat(joined.quarantinedTraitOf(request("dead", 99), body)).isNotNull()
    }

    // Guards against a wrong quarantine that goes on at some instances after others know better.
    @Test
    fun `an answer at one instance ends the quarantine at all`() {
        val fleet = Fleet(5)
        repeat(3) { fleet.crash(it, fleet.guards.values.first()) }
        fleet.nowMs += 300
        fleet.guards.values.last().onSound(request("dead", 7), body)
        fleet.flush()
        expectThat(fleet.guards.values.mapNotNull { it.quarantinedTraitOf(request("dead", 99), body) }).isEmpty()
    }

    // Guards against messages on days without crashes, and against a number that grows with the square of the fleet.
    @Test
    fun `nothing is sent without a quarantine, and at most four messages an instance and round with one`() {
        val fleet = Fleet(95)
        fleet.rounds(3)
        expectThat(fleet.messages).isEqualTo(0)
        repeat(3) { fleet.crash(it, fleet.guards.values.first()) }
        fleet.messages = 0
        fleet.rounds(10)
        expectThat(fleet.messages).isEqualTo(95 * 3 * 10)
    }

    // Guards against a storm of messages when a rack is lost with all requests on it.
    @Test
    fun `the rows of many requests that are lost at the same moment are sent together`() {
        val fleet = Fleet(95)
        val reporter = fleet.guards.values.first()
        (1..200).forEach { number -> reporter.onLost(engine(number % 20), request("part-$number", number), body) }
        fleet.flush()
        expectThat(fleet.messages).isEqualTo(94)
    }

    private companion object {
        fun engine(number: Int) = UpstreamEntry(InstanceId("engine-$number"), "llm", "10.0.0.$number:1", "dc", 8, false, 1)

        fun request(part: String, number: Int) =
            CallerRequest("id-$number", "POST", "host", "/draft/$number", null, "key", null, listOf(part), null, emptyList())
    }
}
