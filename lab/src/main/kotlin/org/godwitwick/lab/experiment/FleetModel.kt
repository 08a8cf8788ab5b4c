package org.godwitwick.lab.experiment

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import kotlin.random.Random

/** Size of a modelled region. */
data class FleetSize(val dataCentres: Int, val replicasEach: Int, val entriesEach: Int) {
    val replicas: Int get() = dataCentres * replicasEach
}

/** Faults that a run may contain; times are fractions of the run. */
enum class ModelFault { NONE, ENGINE_DIES, REPORTS_STOP }

/** Runs one workload on one modelled fleet. Load reports, cache events and rows reach the entry instances late. */
class FleetModel(
    size: FleetSize,
    private val variant: Variant,
    private val arrivals: List<Arrival>,
    private val durationMs: Double,
    private val fault: ModelFault,
    seed: Long,
) {
    private class Site(val name: String, val engines: List<EngineModel>, val entries: List<EntryModel>)

    val clock = ModelClock()
    val speed = EngineSpeed()
    val jobs = ArrayList<Job>()
    private val random = Random(seed)
    private val sites = List(size.dataCentres) { d ->
        val name = "dc-$d"
        Site(
            name,
            List(size.replicasEach) { EngineModel(InstanceId("e-$d-$it"), clock, speed, variant.isManaged) },
            List(size.entriesEach) { EntryModel(InstanceId("n-$d-$it"), name, this, variant, seed + d * 100 + it) },
        )
    }
    private val entries = sites.flatMap { it.entries }
    private val byId = sites.flatMap { it.engines }.associateBy { it.id }

    /** Mean part of [ms] in which engines computed steps. */
    fun busyFraction(ms: Double): Double = busyAtEndMs / byId.size / ms

    private var busyAtEndMs = 0.0

    /** The engine [id]. */
    fun engine(id: InstanceId): EngineModel = byId.getValue(id)

    /** Runs the whole workload and returns all requests. */
    fun run(): List<Job> {
        val list = sites.flatMap { site ->
            site.engines.map {
                ListedInstance(it.id, ListedKind.ENGINE, EntryModel.MODEL, "", null, EntryModel.REGION, site.name)
            }
        }
        entries.forEach { it.onList(list, entries) }
        sites.forEach(::startReports)
        startRows()
        arrivals.forEach { arrival ->
            val entry = entries[random.nextInt(entries.size)]
            clock.at(arrival.atMs) { entry.onArrival(arrival) }
        }
        if (fault == ModelFault.ENGINE_DIES) startDeaths()
        clock.at(durationMs) { busyAtEndMs = byId.values.sumOf { it.busyMs } }
        // After the last arrival everything ends at its deadline at the latest.
        clock.runUntil(durationMs + MAX_TIMEOUT_MS)
        return jobs
    }

    private fun startReports(site: Site) = site.engines.forEach { engine ->
        clock.every(REPORT_MS, random.nextDouble() * REPORT_MS) {
            if (!engine.isAlive) {
                clock.after(REPORT_LAG_MS) { site.entries.forEach { it.directory.onDead(engine.id) } }
            } else if (fault != ModelFault.REPORTS_STOP || clock.nowMs < durationMs * FAULT_FROM) {
                report(site, engine)
            }
        }
    }

    private fun report(site: Site, engine: EngineModel) {
        val report = engine.report()
        val events = engine.takeEvents()
        site.entries.forEach { entry ->
            val areEventsLost = random.nextDouble() < LOST_EVENTS
            clock.after(REPORT_LAG_MS + random.nextDouble() * ROW_MS) {
                entry.directory.onReport(engine.id, report, clock.nowMs.toLong())
                if (!areEventsLost) entry.directory.onCacheEvents(engine.id, events)
            }
        }
    }

    private fun startRows() {
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

    // One engine of each data centre dies at half of the run and is back a minute later.
    private fun startDeaths() = sites.forEach { site ->
        val engine = site.engines.first()
        clock.at(durationMs / 2) {
            val broken = engine.die()
            broken.forEach { it.entry.onBroken(it, engine) }
        }
        clock.at(durationMs / 2 + DEAD_MS) { engine.restart() }
    }

    private companion object {
        const val REPORT_MS = 1_000.0
        const val REPORT_LAG_MS = 100.0
        const val ROW_MS = 500.0
        const val ROW_LAG_MS = 20.0
        const val MEASURE_MS = 1_000.0
        const val TICK_MS = 50.0
        const val LOST_EVENTS = 0.02
        const val MAX_TIMEOUT_MS = 300_000.0
        const val FAULT_FROM = 0.5
        const val DEAD_MS = 60_000.0
    }
}
