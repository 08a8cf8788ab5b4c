package org.godwitwick.node.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import org.godwitwick.core.config.BuiltInConfig
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.model.RequestId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong

class AdmissionGateTest {
    private val clock = AtomicLong(100_000)
    private val control = ControlThread()
    private val directory = ReplicaDirectory("tn-north", "a")
    private val context = GateContext(InstanceId("n0"), "a", startedAtMs = 0, seed = 1)
    private val gate = AdmissionGate(context, control, directory, { BuiltInConfig }, clock::get)

    @AfterEach
    fun stop() = control.close()

    private fun listReplicas() {
        control.ask {
            val engine = ListedInstance(InstanceId("e1"), ListedKind.ENGINE, "menu", "", null, "tn-north", "a")
            val entry = ListedInstance(InstanceId("n0"), ListedKind.ENTRY, "", "", null, "tn-north", "a")
            directory.onList(listOf(engine, entry))
            gate.onList(listOf(engine, entry))
        }.join()
    }

    private fun request(id: String, promptClass: PromptClass = PromptClass.SHORT, timeoutMs: Long = 30_000) = GenerateRequest(
        RequestId(id),
        OrganisationId("bakery"),
        "menu",
        "x".repeat(400),
        10,
        promptClass,
        Deadline(clock.get() + timeoutMs),
    )

    private fun admit(request: GenerateRequest): Result<Ticket, Failure> = gate.admit(request, clock.get())

    // Guards against a request that waits past its deadline because the control thread is busy, and against a failure that says
    // that the request may have run.
    @Test
    @Timeout(30)
    fun `a request fails at its deadline while the control thread is blocked`() {
        listReplicas()
        val release = CountDownLatch(1)
        control.post { release.await() }
        val failure = admit(request("r1", timeoutMs = 50)).getError()
        release.countDown()
        expectThat(failure).isNotNull().and {
            get { kind }.isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
            get { ran }.isEqualTo(Executed.NO)
        }
    }

    // Guards against a long-read share that is never released because the caller gives up just as its request is admitted.
    @Test
    fun `closing a ticket admits the next long read`() {
        listReplicas()
        val first = admit(request("r1", PromptClass.LONG)).getOrThrow { IllegalStateException(it.message) }
        val second = CompletableFuture.supplyAsync { admit(request("r2", PromptClass.LONG)) }
        control.ask { }.join()
        expectThat(second.isDone).isEqualTo(false)
        first.close()
        second.join().getOrThrow { IllegalStateException(it.message) }.close()
    }

    // Guards against a request that waits until its deadline for a model without replicas in this data centre.
    @Test
    fun `a model without replicas is refused at once`() {
        expectThat(gate.admit(request("r1").copy(model = "other"), clock.get()).getError()?.ran).isEqualTo(Executed.NO)
    }
}
