package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.peer.AppliedOffset
import org.godwitwick.node.platform.MemoryLog
import org.godwitwick.node.platform.MemoryLog.AppendFault
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.first
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.concurrent.thread
import com.github.michaelbull.result.get as valueOf

class PublicationServiceTest {
    private val control = ControlThread()
    private val log = MemoryLog()
    private var confirmed = 6

    // A page that is being read is applied before reading stops.
    private val gate = Any()
    private var isReading = true

    @Volatile
    private var isStopped = false
    private val store = ConfigStore(4_000, 0)
    private val fleet = object : FleetStanding {
        override fun regions() = listOf(RegionReports("ee-north", 6, 6, confirmed))

        override fun appliedOffsets() = listOf(applied("entry-1", store.state.appliedOffset), applied("entry-2", null))

        private fun applied(id: String, offset: Long?) = AppliedOffset(InstanceId(id), "ee-north", "ee-north-a", offset)
    }
    private val waits = PublicationWaits(appendMs = 100, outcomeMs = 300, inForceMs = 1)
    private val service = PublicationService(log, store, control, fleet, { AutoCloseable { } }, 3_600_000, waits)
    private val reader = thread(isDaemon = true) {
        while (!isStopped) {
            synchronized(gate) { if (isReading) read() }
            Thread.onSpinWait()
        }
    }

    private fun read() {
        val from = control.ask { store.nextLogOffset }.get()
        val page = runCatching { log.read(CONFIG_STREAM, from, 10, 2).valueOf() }.getOrNull() ?: return
        control.ask { store.takeLogPage(page, from, 0) }.get()
    }

    @AfterEach
    fun stop() {
        isStopped = true
        reader.join()
        control.close()
    }

    // Guards against an accepted answer that doesn't tell where the version isn't known to be in force.
    @Test
    fun `an accepted publication names the instances that have it and those not known to`() {
        expectThat(
            service.publish(queueMax("a", 5)),
        ).isEqualTo(PublicationResult.Accepted(0, listOf("entry-1"), listOf("entry-2")))
    }

    // Guards against both operators being told that their change took effect.
    @Test
    fun `of two operators the second is told the entry and whose change it met`() {
        service.publish(queueMax("a", 5, author = "maarja"))
        val answer = service.publish(queueMax("b", 6, author = "jaan"))
        expectThat(answer).isA<PublicationResult.Conflicted>().get { conflicts }.first().and {
            get { changedBy }.isEqualTo("maarja")
            get { name }.isEqualTo("admission.queueMax")
        }
        expectThat(store.view.integer(ConfigField.QUEUE_MAX)).isEqualTo(5)
    }

    // Guards against "accepted" or "refused" being said by guess when the log's answer was lost, and against a second change.
    @Test
    fun `a lost answer is resolved by reading, or by appending the same publication again`() {
        log.nextAppendFaults += AppendFault.APPENDED_ANSWER_LOST
        expectThat(service.publish(queueMax("a", 5))).isA<PublicationResult.Accepted>().get { offset }.isEqualTo(0)
        log.nextAppendFaults += AppendFault.NOT_APPENDED_ANSWER_LOST
        expectThat(service.publish(queueMax("b", 6, expected = 0))).isA<PublicationResult.Accepted>().get { offset }.isEqualTo(1)
        expectThat(log.records(CONFIG_STREAM)).hasSize(2)
    }

    // Guards against "not appended" being said when an append may still take effect, and against "unknown" when none can.
    @Test
    fun `what can't be known is said so and a later repeat tells`() {
        log.nextAppendFaults += AppendFault.REFUSED
        expectThat(service.publish(queueMax("z", 5))).isA<PublicationResult.NotAppended>()
        synchronized(gate) { isReading = false }
        log.nextAppendFaults += List(3) { AppendFault.APPENDED_ANSWER_LOST }
        expectThat(service.publish(queueMax("a", 5))).isA<PublicationResult.Unknown>()
        log.nextAppendFaults += listOf(AppendFault.NOT_APPENDED_ANSWER_LOST, AppendFault.REFUSED, AppendFault.REFUSED)
        expectThat(service.publish(queueMax("b", 6))).isA<PublicationResult.Unknown>()
        synchronized(gate) { isReading = true }
        expectThat(service.publish(queueMax("a", 5))).isA<PublicationResult.Accepted>().get { offset }.isEqualTo(0)
        expectThat(service.publish(queueMax("a", 7))).isA<PublicationResult.Invalid>().get {
            faults.map { it.field }
        }.containsExactly("id")
    }

    // Guards against a change that instances which believe in a log outage would never hear of, and a claim window beyond the log's retention.
    @Test
    fun `nothing is appended without a confirmed majority or with a claim window over half of the retention`() {
        confirmed = 3
        expectThat(service.publish(queueMax("a", 5))).isA<PublicationResult.NotAppended>()
        val window = queueMax("c", 1_800_001).let { it.copy(changes = listOf(it.changes[0].copy(name = "claim.windowMs"))) }
        expectThat(service.publish(window)).isA<PublicationResult.Invalid>().get {
            faults.single().field
        }.isEqualTo("changes[0].value")
        expectThat(log.records(CONFIG_STREAM)).hasSize(0)
        expectThat(store.state.outcomeOf("a")).isNull()
    }
}
