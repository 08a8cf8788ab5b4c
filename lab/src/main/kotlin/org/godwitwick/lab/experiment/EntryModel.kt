package org.godwitwick.lab.experiment

import org.godwitwick.core.admission.AdmissionCapacity
import org.godwitwick.core.admission.AdmissionConfig
import org.godwitwick.core.admission.AdmissionController
import org.godwitwick.core.admission.AdmissionDecision
import org.godwitwick.core.admission.AdmissionRequest
import org.godwitwick.core.admission.Demand
import org.godwitwick.core.admission.DemandTable
import org.godwitwick.core.admission.LongReadShare
import org.godwitwick.core.admission.OrganisationLimits
import org.godwitwick.core.config.BuiltInConfig
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.placement.ExpectedFirstToken
import org.godwitwick.core.placement.PlacementPolicy
import org.godwitwick.core.placement.PlacementRequest
import org.godwitwick.core.placement.ReplicaView
import org.godwitwick.core.placement.SentWork
import org.godwitwick.node.control.DemandRows
import org.godwitwick.node.control.ReplicaDirectory
import org.godwitwick.node.control.SentRows
import kotlin.random.Random

/** One entry instance in model time, with the directory, rows, admission and policy of the product but no threads or sockets. */
class EntryModel(
    val id: InstanceId,
    val dataCentre: String,
    private val fleet: FleetModel,
    private val variant: Variant,
    seed: Long,
) {
    private val random = Random(seed)
    private val policy: PlacementPolicy = variant.policy()
    private val groupPolicy = policy as? ExpectedFirstToken ?: ExpectedFirstToken()
    private val demand = DemandTable(id, startedAtMs = -UPTIME_BEFORE_RUN_MS)
    private val limits = OrganisationLimits(demand, -UPTIME_BEFORE_RUN_MS) { AdmissionConfig.limitOf(ModelConfig, it) }
    private val controller = AdmissionController<Job>(AdmissionConfig({ ModelConfig }, MODEL, dataCentre), random)
    private var measured: Demand? = null
    private var nonLongTokens = 0L
    private var nonLongTokensPerSecond = 0.0
    private var localInstances = 1

    /** Replicas as this instance sees them. */
    val directory = ReplicaDirectory(REGION, dataCentre)

    /** Rows of dispatched work, exchanged with the entry instances of the same data centre. */
    val sentRows = SentRows(directory)

    /** Rows of measured demand, exchanged with all entry instances. */
    val demandRows = DemandRows(demand) { measured }

    private val now: Long get() = fleet.clock.nowMs.toLong()

    /** Applies the instance list. */
    fun onList(list: List<ListedInstance>, entries: List<EntryModel>) {
        directory.onList(list)
        demand.onList(entries.mapTo(HashSet()) { it.id }, now)
        localInstances = entries.count { it.dataCentre == dataCentre }
    }

    /** Measures demand; called once a second. */
    fun measure() {
        nonLongTokensPerSecond += (nonLongTokens - nonLongTokensPerSecond) * SMOOTHING_FACTOR
        nonLongTokens = 0
        measured = limits.measure(dataCentre, controller.longReads, now)
    }

    /** Updates the capacity and releases queued requests; called every 50 ms. */
    fun tick() {
        if (!variant.isManaged) return
        updateCapacity()
        handle(controller.release(now))
    }

    /** Handles [arrival] from a caller. */
    fun onArrival(arrival: Arrival) {
        val work = placementOf(arrival).remainingWork(0)
        val deadline = Deadline((arrival.atMs + arrival.timeoutMs).toLong())
        val job = Job(arrival, this, AdmissionRequest(arrival.organisation, arrival.promptClass, work, deadline))
        fleet.jobs += job
        fleet.clock.at(arrival.atMs + arrival.timeoutMs) { if (job.end == null) onEnd(job, JobEnd.PAST_DEADLINE) }
        if (!variant.isManaged) return dispatch(job, emptySet())
        if (!job.admission.isLongRead) nonLongTokens += work.prefillTokens
        if (limits.charge(arrival.organisation, work.workTokens, job.admission.isLongRead, now) != null) {
            return onEnd(job, JobEnd.REFUSED)
        }
        handle(controller.enqueue(job.admission, job, now))
        handle(controller.release(now))
    }

    /** Records the first token of [job]. */
    fun onFirstToken(job: Job) {
        if (job.firstTokenAtMs.isNaN()) job.firstTokenAtMs = fleet.clock.nowMs
        clearOutstanding(job, isFirstToken = true)
    }

    /** Ends [job] with [end] and releases its engines; no effect if it has already ended. */
    fun onEnd(job: Job, end: JobEnd) {
        if (job.end != null) return
        job.end = end
        job.endedAtMs = fleet.clock.nowMs
        clearOutstanding(job, isFirstToken = false)
        job.engines.forEach { engine ->
            engine.release(job)
            directory.tracked(engine.id)?.update { it.withEnded() }
        }
        tick()
    }

    /** Dispatches [job] again, without its engine [crashed]; ends it as broken if it has used up its dispatches. */
    fun onEngineCrash(job: Job, crashed: EngineModel) {
        if (job.end != null) return
        job.engines.forEach { engine ->
            engine.release(job)
            directory.tracked(engine.id)?.update { it.withEnded() }
        }
        if (job.dispatches > MAX_DISPATCHES) return onEnd(job, JobEnd.BROKEN)
        dispatch(job, setOfNotNull(directory.tracked(crashed.id)?.slot))
    }

    private fun clearOutstanding(job: Job, isFirstToken: Boolean) {
        if (job.outstandingPrefillTokens == 0L) return
        job.engines.forEach { engine -> directory.tracked(engine.id)?.update { it.withFirstToken(job.outstandingPrefillTokens) } }
        job.outstandingPrefillTokens = 0
        if (!variant.isManaged) return
        controller.onPrefilled(job.admission, (fleet.clock.nowMs - job.dispatchedAtMs).toLong(), isFirstToken)
        tick()
    }

    private fun handle(decisions: List<AdmissionDecision<Job>>) = decisions.forEach { decision ->
        val job = decision.item
        when {
            job.end != null -> if (decision.failure == null) controller.onPrefilled(job.admission, 0, isFirstToken = false)
            decision.failure != null -> onEnd(job, JobEnd.REFUSED)
            else -> dispatch(job, emptySet())
        }
    }

    private fun dispatch(job: Job, excluded: Set<Int>) {
        if (job.end != null) return
        val request = placementOf(job.arrival)
        val table = directory.table(MODEL) ?: return onEnd(job, JobEnd.REFUSED)
        val members = if (request.kvTokens > fleet.speed.kvTokens) {
            val count = ExpectedFirstToken.groupSize(request, fleet.speed.kvTokens) ?: return onEnd(job, JobEnd.REFUSED)
            groupPolicy.chooseGroup(request, count, table, excluded, now, random) ?: return onEnd(job, JobEnd.REFUSED)
        } else {
            listOf(policy.choose(request, table, excluded, now, random)?.replica ?: return onEnd(job, JobEnd.REFUSED))
        }
        start(job, request, members, excluded)
    }

    private fun start(job: Job, request: PlacementRequest, members: List<ReplicaView>, excluded: Set<Int>) {
        val engines = members.map { fleet.engine(it.id) }
        if (job.dispatchedAtMs.isNaN()) job.dispatchedAtMs = fleet.clock.nowMs
        val kvTokensPerMember = request.kvTokens / members.size
        val failed =
            engines.firstOrNull { engine -> !engine.isAlive || (engines.size > 1 && !engine.reserve(job, kvTokensPerMember)) }
        if (failed != null) {
            engines.forEach { it.release(job) }
            val next = if (failed.isAlive) emptySet() else excluded + listOfNotNull(directory.tracked(failed.id)?.slot)
            fleet.clock.after(RETRY_MS * (1 + random.nextDouble())) { dispatch(job, next) }
            return
        }
        job.dispatches++
        job.engines = engines
        job.segmentIndex = 0
        val segment = job.arrival.promptTokens / engines.size
        job.segments = List(engines.size) { if (it < engines.lastIndex) segment else job.arrival.promptTokens - segment * it }
        for (member in members) {
            val prefill = request.remainingWork(
                directory.table(MODEL)?.cachedBlocks(member.slot, request.blocks) ?: 0,
            ).prefillTokens
            job.outstandingPrefillTokens = prefill / members.size
            val work = SentWork(now, request.promptClass, job.outstandingPrefillTokens, kvTokensPerMember)
            directory.tracked(member.id)?.update { it.withDispatch(work) }
            sentRows.onDispatch(member.id, work)
        }
        fleet.clock.after(NETWORK_MS) { if (job.end == null && job.engines === engines) job.submitSegment() }
    }

    private fun updateCapacity() {
        val replicas = directory.table(MODEL)?.local?.size ?: 0
        val speed = ReplicaView.DEFAULT_PREFILL_TOKENS_PER_SECOND
        val fraction = demand.shareInDataCentre(1.0, dataCentre, localInstances, now)
        val nonLongReplicas = nonLongTokensPerSecond / fraction.coerceAtLeast(MIN_DEMAND_FRACTION) / speed
        val share = ModelConfig.fraction(ConfigField.LONG_SHARE)
        val long = LongReadShare.replicasFor(replicas, share, nonLongReplicas)
        val peerLongReads = demand.peerLongReadsIn(dataCentre, localInstances, now)
        controller.onCapacity(
            AdmissionCapacity(
                replicas,
                speed,
                fraction,
                LongReadShare.allowedOnInstance(long, peerLongReads, localInstances),
                long * fraction,
            ),
            now,
        )
    }

    private fun placementOf(arrival: Arrival) =
        PlacementRequest(arrival.promptTokens, arrival.outputTokens, arrival.promptClass, arrival.blocks)

    /** Built-in values, except for a work limit so high that the experiment measures placement and queueing only. */
    private object ModelConfig : ConfigView {
        override val appliedOffset: Long get() = 0

        override fun text(field: ConfigField, subject: ConfigSubject): String =
            if (field == ConfigField.ORGANISATION_WORK) "1000000000" else BuiltInConfig.text(field, subject)
    }

    companion object {
        const val MODEL = "menu"
        const val REGION = "tn-north"
        private const val UPTIME_BEFORE_RUN_MS = 60_000L
        private const val SMOOTHING_FACTOR = 0.3
        private const val MIN_DEMAND_FRACTION = 0.05
        private const val MAX_DISPATCHES = 3
        private const val RETRY_MS = 200.0
        private const val NETWORK_MS = 1.0
    }
}
