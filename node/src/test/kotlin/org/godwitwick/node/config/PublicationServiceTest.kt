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

    // Held while a page is read and applied, so that no page is applied after reading was stopped.
    private val gate = Any()
    private var isReading = true

    @Volatile
    private var isStopped = false
    private val store = ConfigStore(4_000, 0)
    private val fleet = object : FleetStatus {
        override fun regions() = listOf(RegionReports("ee-north", 6, 6, confirmed))

        override fun appliedOffsets() = listOf(applied("entry-1", store.state.appliedOffset), applied("entry-2", null))

        private fun applied(id: String, offset: Long?) = AppliedOffset(InstanceId(id), "ee-north", "ee-north-a", offset)
    }
    private val timeouts = PublicationTimeouts(appendMs = 100, outcomeMs = 300, inForceMs = 1)
    private val service = PublicationService(log, store, control, fleet, { AutoCloseable { } }, 3_600_000, timeouts)
    private val reader = thread(isDaemon = true) {
        while (!isStopped) {
            synchronized(gate) { if (isReading) read() }
            Thread.onSpinWait()
        }
    }

    private fun read() {
        val from = control.ask { store.nextLogOffset }.get()
        val page = runCatching { log.read(CONFIG_STREAM, from, 10, 2).valueOf() }.getOrNull() ?: return
        control.ask { store.applyLogPage(page, from, 0) }.get()
    }

    @AfterEach
    fun stop() {
        isStopped = true
        reader.join()
        control.close()
    }

    // Guards against an answer that does not name the instances on which the version is not confirmed to be in force.
    @Test
    fun `the result of an accepted publication lists the instances with and without confirmation`() {
        expectThat(
            service.publish(queueMax("a", 5)),
        ).isEqualTo(PublicationResult.Accepted(0, listOf("entry-1"), listOf("entry-2")))
    }

    // Guards against reporting success to both of two operators with conflicting changes.
    @Test
    fun `the result of the second of two conflicting publications names the entry and the author of the first`() {
        service.publish(queueMax("a", 5, author = "maarja"))
        val answer = service.publish(queueMax("b", 6, author = "jaan"))
        expectThat(answer).isA<PublicationResult.Conflicted>().get { conflicts }.first().and {
            get { changedBy }.isEqualTo("maarja")
            get { name }.isEqualTo("admission.queueMax")
        }
        expectThat(store.view.integer(ConfigField.QUEUE_MAX)).isEqualTo(5)
    }

    // Guards against a guessed result when the log's answer was lost, and against applying the publication twice.
    @Test
    fun `a lost append answer is resolved by reading the log or by appending the publication again`() {
        log.nextAppendFaults += AppendFault.APPENDED_ANSWER_LOST
        expectThat(service.publish(queueMax("a", 5))).isA<PublicationResult.Accepted>().get { offset }.isEqualTo(0)
        log.nextAppendFaults += AppendFault.NOT_APPENDED_ANSWER_LOST
        expectThat(service.publish(queueMax("b", 6, expected = 0))).isA<PublicationResult.Accepted>().get { offset }.isEqualTo(1)
        expectThat(log.records(CONFIG_STREAM)).hasSize(2)
    }

    // Guards against the result NotAppended when an append may still take effect, and Unknown when none can.
    @Test
    fun `an unknown outcome is reported as unknown and is resolved by publishing again`() {
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

    // Guards against a change that would not reach instances that have detected a log outage, and against a claim window beyond
    // the log's retention.
    @Test
    fun `nothing is appended without a confirmed majority or with a claim window over half of the log's retention`() {
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
