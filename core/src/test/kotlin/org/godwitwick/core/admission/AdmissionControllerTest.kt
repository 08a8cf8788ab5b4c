package org.godwitwick.core.admission

import org.godwitwick.core.config.BuiltInConfig
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.WorkEstimate
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.single
import kotlin.random.Random

class AdmissionControllerTest {
    private val smallQueues = object : ConfigView {
        override val appliedOffset = 0L

        override fun text(field: ConfigField, subject: ConfigSubject) =
            if (field == ConfigField.QUEUE_MAX) "20" else field.defaultValue
    }

    private fun controller(config: ConfigView = BuiltInConfig, longReads: Int = 2) =
        AdmissionController<Int>(AdmissionConfig({ config }, "menu", "a"), Random(1)).apply {
            onCapacity(AdmissionCapacity(4, 20_000.0, 1.0, longReads), 0)
        }

    private fun request(promptClass: PromptClass, tokens: Long, deadlineMs: Long = 600_000, organisation: String = "bakery") =
        AdmissionRequest(OrganisationId(organisation), promptClass, WorkEstimate(tokens, 50), Deadline(deadlineMs))

    // Guards against long reads on all replicas, and against a share that is not released after the first token.
    @Test
    fun `long reads beyond the share wait for the first token of a running one`() {
        val controller = controller()
        val read = request(PromptClass.LONG, 80_000)
        repeat(3) { expectThat(controller.enqueue(read, it, 0)).isEmpty() }
        expectThat(controller.release(0).size).isEqualTo(2)
        controller.onPrefilled(read, 5_000, isFirstToken = true)
        expectThat(controller.release(5_000)).single().and { get { item }.isEqualTo(2) }
    }

    // Guards against idle replicas while long reads wait, against long reads on replicas that shorter requests need, and against
    // a share of zero replicas.
    @Test
    fun `long reads receive the configured share or what shorter requests leave unused`() {
        expectThat(LongReadShare.replicasFor(20, 0.4, shorterDemandReplicas = 2.0)).isEqualTo(17)
        expectThat(LongReadShare.replicasFor(20, 0.4, shorterDemandReplicas = 8.0)).isEqualTo(10)
        expectThat(LongReadShare.replicasFor(20, 0.4, shorterDemandReplicas = 12.0)).isEqualTo(8)
        expectThat(LongReadShare.replicasFor(20, 0.4, shorterDemandReplicas = 30.0)).isEqualTo(8)
        expectThat(LongReadShare.replicasFor(2, 0.4, shorterDemandReplicas = 30.0)).isEqualTo(1)
    }

    // Guards against admitting a read that will miss its deadline, and against reporting an undispatched one as possibly run.
    @Test
    fun `a read that cannot meet its deadline is refused on arrival as not run`() {
        val refused = controller().enqueue(request(PromptClass.HUGE, 400_000, deadlineMs = 15_000), 0, 0)
        expectThat(refused).single().and {
            get { failure?.kind }.isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
            get { failure?.ran }.isEqualTo(Executed.NO)
        }
        val busy = controller()
        repeat(4) { busy.enqueue(request(PromptClass.HUGE, 400_000), it, 0) }
        busy.release(0)
        val late = busy.enqueue(request(PromptClass.LONG, 40_000, deadlineMs = 20_000), 9, 0)
        expectThat(late).single().and {
            get { failure?.kind }.isEqualTo(ErrorKind.OVERLOADED)
            get { failure?.retryAfterMs ?: 0 }.isGreaterThan(1_000)
        }
    }

    // Guards against dispatching a request that was queued too long to meet its deadline.
    @Test
    fun `a queued request that can no longer meet its deadline is refused`() {
        val controller = controller(longReads = 0)
        controller.enqueue(request(PromptClass.LONG, 40_000, deadlineMs = 60_000), 0, 0)
        expectThat(controller.release(30_000)).isEmpty()
        expectThat(controller.release(59_000)).single().and { get { failure?.kind }.isEqualTo(ErrorKind.DEADLINE_EXCEEDED) }
    }

    // Guards against refusing the first long reads after the start of an instance or model.
    @Test
    fun `the first capacity update does not start recovery`() {
        val controller = controller()
        expectThat(controller.enqueue(request(PromptClass.LONG, 50_000), 0, 0)).isEmpty()
        expectThat(controller.release(0).size).isEqualTo(1)
    }

    // Guards against starvation of medium requests by a steady stream of short ones.
    @Test
    fun `a medium request is not starved by short ones`() {
        val controller = controller()
        controller.enqueue(request(PromptClass.MEDIUM, 30_000), -1, 0)
        repeat(100) { controller.enqueue(request(PromptClass.SHORT, 4_000), it, 0) }
        var mediumAtMs: Long? = null
        for (nowMs in 0L..6_000L step 50) {
            // More than the window admits in one step, so that short requests are always queued.
            repeat(25) { controller.enqueue(request(PromptClass.SHORT, 4_000), it, nowMs) }
            val admitted = controller.release(nowMs).filter { it.failure == null }
            if (admitted.any { it.item == -1 } && mediumAtMs == null) mediumAtMs = nowMs
            admitted.filter { it.item >= 0 }.forEach { controller.onPrefilled(it.request, 50, isFirstToken = true) }
        }
        expectThat(mediumAtMs ?: Long.MAX_VALUE).isLessThan(3_000)
    }

    // Guards against an unbounded queue, and against a flood from one organisation that displaces requests of another.
    @Test
    fun `a full queue refuses the flooding organisation's requests`() {
        val controller = controller(smallQueues)
        controller.enqueue(request(PromptClass.SHORT, 2_000, organisation = "clinic"), -1, 0)
        val refused = (0 until 200).flatMap { controller.enqueue(request(PromptClass.SHORT, 2_000), it, 0) }
        expectThat(controller.waiting).isEqualTo(20)
        expectThat(refused.count { it.request.organisation.value == "clinic" }).isEqualTo(0)
    }

    // Guards against a second outage when all waiting callers return at once: the window grows gradually and long reads come
    // last.
    @Test
    fun `after an outage short requests are admitted gradually and long reads are refused`() {
        val capacity = AdmissionCapacity(4, 20_000.0, 1.0, 2)
        val controller = AdmissionController<Int>(AdmissionConfig({ BuiltInConfig }, "menu", "a"), Random(1))
        val outage = controller.enqueue(request(PromptClass.SHORT, 4_000), 0, -10)
        expectThat(outage).single().and { get { failure?.kind }.isEqualTo(ErrorKind.NO_UPSTREAM) }
        controller.onCapacity(capacity, 0)
        repeat(200) { controller.enqueue(request(PromptClass.SHORT, 4_000), it, 0) }
        val atOnce = controller.release(0).count { it.failure == null }
        expectThat(atOnce).isGreaterThan(0).isLessThanOrEqualTo(6)
        val read = controller.enqueue(request(PromptClass.LONG, 50_000), 0, 100)
        expectThat(read).single().and { get { failure?.kind }.isEqualTo(ErrorKind.OVERLOADED) }
        val later = controller.release(5_000).count { it.failure == null }
        expectThat(later + atOnce).isEqualTo(20)
        expectThat(controller.enqueue(request(PromptClass.LONG, 50_000), 0, 5_000)).isEmpty()
    }
}
