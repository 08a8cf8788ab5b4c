package org.godwitwick.node.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.admission.AdmissionCapacity
import org.godwitwick.core.admission.AdmissionConfig
import org.godwitwick.core.admission.AdmissionController
import org.godwitwick.core.admission.AdmissionDecision
import org.godwitwick.core.admission.AdmissionRequest
import org.godwitwick.core.admission.Demand
import org.godwitwick.core.admission.DemandTable
import org.godwitwick.core.admission.LongReadShare
import org.godwitwick.core.admission.OrganisationLimits
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.placement.PlacementRequest
import org.godwitwick.core.placement.ReplicaView
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/** Permission to dispatch one admitted request. [close] must be called when the request ends, whether it succeeded or failed. */
interface Ticket : AutoCloseable {
    /** Records that the first token arrived at [nowMs], which releases the request's part of the long-read share. */
    fun onFirstToken(nowMs: Long)

    override fun close()
}

/**
 * Identity, location and start time of the instance that an [AdmissionGate] runs on, and the [seed] of the gate's random numbers.
 */
data class GateContext(val instance: InstanceId, val dataCentre: String, val startedAtMs: Long, val seed: Long)

/**
 * Admits requests. Decisions are made on the control thread; a traffic thread waits for the decision on its request no longer
 * than the request's deadline, even when the control thread is blocked.
 */
class AdmissionGate(
    private val context: GateContext,
    private val control: ControlThread,
    private val directory: ReplicaDirectory,
    private val config: () -> ConfigView,
    private val nowMs: () -> Long,
) {
    private class Pending(val answer: CompletableFuture<Result<Ticket, Failure>>, val model: String)

    private val controllers = HashMap<String, AdmissionController<Pending>>()
    private val table = DemandTable(context.instance, context.startedAtMs)
    private val limits = OrganisationLimits(table, context.startedAtMs) { AdmissionConfig.limitOf(config(), it) }

    // Prefill work of requests that are not long reads, by model.
    private val shorterTokensPerSecond = HashMap<String, Double>()
    private val shorterTokensArrived = HashMap<String, Long>()
    private var localInstances = 1
    private var measuredDemand: Demand? = null
    private var measuredAtMs = context.startedAtMs

    /** Demand rows that this instance exchanges with its peers. */
    val demandRows: PeerRows = DemandRows(table) { measuredDemand }

    /** Schedules the periodic demand measurement and release of queued requests on the control thread. */
    fun start() {
        control.every(MEASURE_MS, ::measure)
        control.every(RELEASE_MS, ::releaseAll)
    }

    /** Applies a new instance list. Must be called on the control thread. */
    fun onList(instances: List<ListedInstance>) {
        val entries = instances.filter { it.kind == ListedKind.ENTRY }
        table.onList(entries.mapTo(HashSet()) { it.id }, nowMs())
        localInstances = entries.count { it.dataCentre == context.dataCentre }.coerceAtLeast(1)
    }

    /**
     * Whether the peers include this instance when they split limits; until then this instance's part of every organisation's
     * limit is zero. Must be called on the control thread.
     */
    fun isSettled(): Boolean = table.isSettled(nowMs())

    /**
     * Resets the peers' demand and ramps admission up slowly, after the process was paused or cut off from its peers. Must be
     * called on the control thread.
     */
    fun onResumed() {
        table.restart(nowMs())
        controllers.values.forEach { it.startRecovery(nowMs()) }
    }

    /** Blocks until [request] is admitted or refused, or fails with [ErrorKind.DEADLINE_EXCEEDED] at its deadline. */
    fun admit(request: GenerateRequest, nowMs: Long): Result<Ticket, Failure> {
        val answer = CompletableFuture<Result<Ticket, Failure>>()
        val work = PlacementRequest(request.promptTokens, request.maxTokens, request.promptClass, LongArray(0)).remainingWork(0)
        val admissionRequest = AdmissionRequest(request.organisation, request.promptClass, work, request.deadline)
        control.post { arrive(admissionRequest, Pending(answer, request.model)) }
        return try {
            answer.get(request.deadline.remainingMs(nowMs), TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            failAtDeadline(answer)
        } catch (e: ExecutionException) {
            Err(Failure(ErrorKind.INTERNAL, "admission failed: ${e.cause?.javaClass?.simpleName}", ran = Executed.NO))
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
            failAtDeadline(answer)
        }
    }

    // Either this thread or the control thread completes the answer, so an admission that races with the deadline is not lost.
    private fun failAtDeadline(answer: CompletableFuture<Result<Ticket, Failure>>): Result<Ticket, Failure> {
        val deadlineExceeded =
            Err(Failure(ErrorKind.DEADLINE_EXCEEDED, "the request was not admitted before its deadline", ran = Executed.NO))
        return if (answer.complete(deadlineExceeded)) deadlineExceeded else answer.get()
    }

    private fun arrive(request: AdmissionRequest, pending: Pending) {
        if (pending.answer.isDone) return
        val now = nowMs()
        if (!request.isLongRead) shorterTokensArrived.merge(pending.model, request.work.prefillTokens, Long::plus)
        limits.charge(request.organisation, request.work.workTokens, request.isLongRead, now)?.let {
            pending.answer.complete(Err(it))
            return
        }
        val controller = controllerOf(pending.model, now)
        controller.enqueue(request, pending, now).forEach { answer(controller, it, now) }
        release(controller, now)
    }

    private fun release(controller: AdmissionController<Pending>, now: Long) {
        controller.release(now).forEach { answer(controller, it, now) }
    }

    private fun releaseAll() {
        val now = nowMs()
        controllers.forEach { (model, controller) ->
            controller.onCapacity(capacityOf(model, now), now)
            release(controller, now)
        }
    }

    private fun answer(controller: AdmissionController<Pending>, decision: AdmissionDecision<Pending>, now: Long) {
        val failure = decision.failure
        val pending = decision.item
        if (failure != null) {
            limits.refund(decision.request.organisation, decision.request.work.workTokens)
            pending.answer.complete(Err(failure))
            return
        }
        val ticket = GateTicket(controller, decision.request, now)
        if (!pending.answer.complete(Ok(ticket))) {
            limits.refund(decision.request.organisation, decision.request.work.workTokens)
            ticket.close()
        }
    }

    private fun controllerOf(model: String, now: Long): AdmissionController<Pending> = controllers.getOrPut(model) {
        AdmissionController<Pending>(
            AdmissionConfig(config, model, context.dataCentre),
            Random(context.seed + model.hashCode()),
        ).also { it.onCapacity(capacityOf(model, now), now) }
    }

    private fun capacityOf(model: String, now: Long): AdmissionCapacity {
        val replicas = directory.table(model)?.local?.size ?: 0
        val prefillSpeed = directory.table(model)?.let { table -> table.local.firstOrNull()?.let { table.replica(it) } }
            ?.prefillTokensPerSecond ?: ReplicaView.DEFAULT_PREFILL_TOKENS_PER_SECOND
        val share = AdmissionConfig(config, model, context.dataCentre).longShare
        val fraction = table.shareInDataCentre(1.0, context.dataCentre, localInstances, now)
        val shorterReplicas = (shorterTokensPerSecond[model] ?: 0.0) / fraction.coerceAtLeast(MIN_INSTANCE_SHARE) / prefillSpeed
        val longReadReplicas = LongReadShare.replicasFor(replicas, share, shorterReplicas)
        val peerLongReads = table.peerLongReadsIn(context.dataCentre, localInstances, now)
        return AdmissionCapacity(
            replicas,
            prefillSpeed,
            fraction,
            LongReadShare.allowedOnInstance(longReadReplicas, peerLongReads, localInstances),
            longReadReplicas * fraction,
        )
    }

    private fun measure() {
        val now = nowMs()
        val seconds = (now - measuredAtMs).coerceAtLeast(1) / MS_PER_SECOND
        measuredAtMs = now
        controllers.keys.forEach { model ->
            val perSecond = (shorterTokensArrived.remove(model) ?: 0L) / seconds
            shorterTokensPerSecond.merge(model, perSecond) { before, newer -> before + (newer - before) * SMOOTHING }
        }
        measuredDemand = limits.measure(context.dataCentre, controllers.values.sumOf { it.longReads }, now)
    }

    private inner class GateTicket(
        private val controller: AdmissionController<Pending>,
        private val request: AdmissionRequest,
        private val admittedAtMs: Long,
    ) : Ticket {
        private val isPrefillEnded = AtomicBoolean()

        override fun onFirstToken(nowMs: Long) = endPrefill(nowMs, isFirstToken = true)

        override fun close() = endPrefill(nowMs(), isFirstToken = false)

        private fun endPrefill(atMs: Long, isFirstToken: Boolean) {
            if (!isPrefillEnded.compareAndSet(false, true)) return
            control.post {
                controller.onPrefilled(request, atMs - admittedAtMs, isFirstToken)
                release(controller, nowMs())
            }
        }
    }

    private companion object {
        const val MEASURE_MS = 1_000L

        /**
         * Requests are released as soon as capacity is freed; this period only covers lost rows, deadlines and the recovery ramp.
         */
        const val RELEASE_MS = 50L
        const val SMOOTHING = 0.3
        const val MIN_INSTANCE_SHARE = 0.05
        const val MS_PER_SECOND = 1_000.0
    }
}
