package org.godwitwick.lab.experiment

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import kotlin.random.Random

/** Size of a modelled region. */
data class FleetSize(val dataCentres: Int, val replicasEach: Int, val entriesEach: Int) {
    val replicas: Int get() = dataCentres * replicasEach
}

/** Fault that is injected halfway through a run. */
enum class ModelFault { NONE, ENGINE_DIES, REPORTS_STOP }

/** Runs one workload on one modelled fleet. Load reports, cache events and rows reach the entry instances with a delay. */
class FleetModel(
    size: FleetSize,
    private val variant: Variant,
    private val arrivals: List<Arrival>,
    private val durationMs: Double,
    private val fault: ModelFault,
    seed: Long,
) {
    private class DataCentre(val name: String, val engines: List<EngineModel>, val entries: List<EntryModel>)

    val clock = ModelClock()
    val speed = EngineSpeed()
    val jobs = ArrayList<Job>()
    private val random = Random(seed)
    private val dataCentres = List(size.dataCentres) { d ->
        val name = "dc-$d"
        DataCentre(
            name,
            List(size.replicasEach) { EngineModel(InstanceId("e-$d-$it"), clock, speed, variant.isManaged) },
            List(size.entriesEach) { EntryModel(InstanceId("n-$d-$it"), name, this, variant, seed + d * 100 + it) },
        )
    }
    private val entries = dataCentres.flatMap { it.entries }
    private val byId = dataCentres.flatMap { it.engines }.associateBy { it.id }

    /** Mean fraction of [ms] that the engines spent in steps. */
    fun busyFraction(ms: Double): Double = busyAtEndMs / byId.size / ms

    private var busyAtEndMs = 0.0

    /** Returns the engine [id]; throws [NoSuchElementException] if there is none. */
    fun engine(id: InstanceId): EngineModel = byId.getValue(id)

    /** Runs the whole workload and returns all requests. */
    fun run(): List<Job> {
        val list = dataCentres.flatMap { dataCentre ->
            dataCentre.engines.map {
                ListedInstance(it.id, ListedKind.ENGINE, EntryModel.MODEL, "", null, EntryModel.REGION, dataCentre.name)
            }
        }
        entries.forEach { it.onList(list, entries) }
        dataCentres.forEach(::scheduleReports)
        scheduleRows()
        arrivals.forEach { arrival ->
            val entry = entries[random.nextInt(entries.size)]
            clock.at(arrival.atMs) { entry.onArrival(arrival) }
        }
        if (fault == ModelFault.ENGINE_DIES) scheduleCrashes()
        clock.at(durationMs) { busyAtEndMs = byId.values.sumOf { it.busyMs } }
        // Every request ends by its deadline, which is at most MAX_TIMEOUT_MS after its arrival.
        clock.runUntil(durationMs + MAX_TIMEOUT_MS)
        return jobs
    }

    private fun scheduleReports(dataCentre: DataCentre) = dataCentre.engines.forEach { engine ->
        clock.every(REPORT_MS, random.nextDouble() * REPORT_MS) {
            if (!engine.isAlive) {
                clock.after(REPORT_LAG_MS) { dataCentre.entries.forEach { it.directory.onDead(engine.id) } }
            } else if (fault != ModelFault.REPORTS_STOP || clock.nowMs < durationMs * FAULT_START_FRACTION) {
                report(dataCentre, engine)
            }
        }
    }

    private fun report(dataCentre: DataCentre, engine: EngineModel) {
        val report = engine.report()
        val events = engine.drainEvents()
        dataCentre.entries.forEach { entry ->
            val areEventsLost = random.nextDouble() < EVENT_LOSS_FRACTION
            clock.after(REPORT_LAG_MS + random.nextDouble() * ROW_MS) {
                entry.directory.onReport(engine.id, report, clock.nowMs.toLong())
                if (!areEventsLost) entry.directory.onCacheEvents(engine.id, events)
            }
        }
    }

    private fun scheduleRows() {
        entries.forEach { entry ->
            clock.every(MEASURE_MS, random.nextDouble() * MEASURE_MS, entry::measure)
            clock.every(TICK_MS, random.nextDouble() * TICK_MS, entry::tick)
            clock.every(ROW_MS, random.nextDouble() * ROW_MS) { exchange(entry) }
        }
    }

    private fun exchange(from: EntryModel) {
        val nowMs = clock.nowMs.toLong()
        val sent = from.sentRows.encode(nowMs)
        val demand = from.demandRows.encode(nowMs)
        clock.after(ROW_LAG_MS) {
            val atMs = clock.nowMs.toLong()
            for (to in entries) {
                if (to === from) continue
                if (to.dataCentre == from.dataCentre) to.sentRows.accept(from.id, sent, atMs)
                to.demandRows.accept(from.id, demand, atMs)
            }
        }
    }

    // One engine of each data centre crashes halfway through the run and restarts a minute later.
    private fun scheduleCrashes() = dataCentres.forEach { dataCentre ->
        val engine = dataCentre.engines.first()
        clock.at(durationMs / 2) {
            val interrupted = engine.crash()
            interrupted.forEach { it.entry.onEngineCrash(it, engine) }
        }
        clock.at(durationMs / 2 + DOWNTIME_MS) { engine.restart() }
    }

    private companion object {
        const val REPORT_MS = 1_000.0
        const val REPORT_LAG_MS = 100.0
        const val ROW_MS = 500.0
        const val ROW_LAG_MS = 20.0
        const val MEASURE_MS = 1_000.0
        const val TICK_MS = 50.0
        const val EVENT_LOSS_FRACTION = 0.02
        const val MAX_TIMEOUT_MS = 300_000.0
        const val FAULT_START_FRACTION = 0.5
        const val DOWNTIME_MS = 60_000.0
    }
}
