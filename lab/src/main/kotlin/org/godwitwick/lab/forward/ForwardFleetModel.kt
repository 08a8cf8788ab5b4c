package org.godwitwick.lab.forward

import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.PlacementSettings
import org.godwitwick.core.forward.PrefillSplitRule
import org.godwitwick.core.forward.PrefillSplitSettings
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.forward.ForwardDemand
import org.godwitwick.node.forward.LoadExchange
import org.godwitwick.node.forward.PeerLoads
import org.godwitwick.node.forward.RegisteredInstance
import org.godwitwick.node.forward.UpstreamLoads
import org.godwitwick.node.forward.WorkPlacer
import org.godwitwick.node.peer.ForwardLoad
import java.util.PriorityQueue
import kotlin.random.Random

/** Named settings of the placement and prefill split rules, to compare in one experiment. */
data class PlacementVariant(
    val name: String,
    val placement: PlacementSettings = PlacementSettings(),
    val split: PrefillSplitSettings = PrefillSplitSettings(),
) {
    companion object {
        /** The settings that the product uses. */
        val CURRENT = PlacementVariant("current")

        /** The settings of the product before bursts of long prompts were modelled. */
        val PREVIOUS = PlacementVariant(
            "before",
            PlacementSettings(streamShare = 0.4),
            PrefillSplitSettings(
                safeTargetShare = 0.4,
                tokensPerRequest = 10_000.0,
                longStreamValue = 3.0,
                expectedOtherStreams = 0.15,
                longStallMs = 500.0,
            ),
        )
    }
}

/**
 * Entry instances that place the requests of a [mix] on modelled engines with the rules of the product. Each instance learns the
 * work sent by the others with the delay of the load exchange. All times are model time.
 */
class ForwardFleetModel(private val mix: ForwardMix, variant: PlacementVariant, seed: Long) {
    private class Event(val atMs: Double, val order: Long, val action: (Double) -> Unit)

    private inner class Instance(index: Int, variant: PlacementVariant, seed: Long) {
        private val random = Random(seed * SEED_PRIME + index)
        val registered = RegisteredInstance(InstanceId("entry-$index"), "dc-${index % DATA_CENTRES}", "entry-$index:1")
        val loads = UpstreamLoads()
        val peerLoads = PeerLoads()
        val placer = WorkPlacer(
            PlacementRule(random, variant.placement, PrefillSplitRule(variant.split)),
            loads,
            peerLoads,
            random,
            { instances.size },
        )
        val exchange = LoadExchange(registered, loads, peerLoads) { to, message -> deliver(registered.id, to, message) }
    }

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L
    private var nowMs = 0.0
    private val engines = (1..mix.engines).associate { i ->
        val entry =
            UpstreamEntry(
                InstanceId("engine-$i"),
                "llm",
                "engine-$i:1",
                "dc",
                mix.speed.profile.slots,
                isLeaving = false,
                startedAtMs = 1,
            )
        entry to
            PassEngine(mix.speed, ::schedule, { inProgress.getValue(it).onPrefillDone() }) { inProgress.remove(it)?.end() }
    }
    private val inProgress = HashMap<ModelRequest, UpstreamLoads.WorkInProgress>()
    private val instances = ArrayList<Instance>().apply { repeat(mix.instances) { add(Instance(it, variant, seed)) } }
    private val byId = instances.associateBy { it.registered.id }
    private val peersOf = instances.associateWith { self -> instances.filter { it !== self }.map { it.registered } }
    private val arrivals = mix.arrivals(seed)
    private val random = Random(seed)

    private fun schedule(timeMs: Double, action: (Double) -> Unit) {
        events += Event(timeMs, order++, action)
    }

    private fun deliver(from: InstanceId, to: InstanceId, message: ForwardLoad) =
        schedule(nowMs + HOP_MS) { byId.getValue(to).peerLoads.onReport(from, message, it.toLong()) }

    /** Simulates the mix and returns all requests, including those that were refused or did not end. */
    fun run(): List<ModelRequest> {
        val all = ArrayList<ModelRequest>()
        arrivals.forEach { arrival -> schedule(arrival.atMs) { all += place(arrival) } }
        instances.forEach { instance -> schedule(random.nextDouble() * EXCHANGE_MS) { exchange(instance) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMs > (mix.seconds + TAIL_S) * MS_PER_S) break
            nowMs = event.atMs
            event.action(nowMs)
        }
        return all
    }

    private fun exchange(instance: Instance) {
        instance.exchange.round(peersOf.getValue(instance), nowMs.toLong(), nowMs.toLong())
        schedule(nowMs + EXCHANGE_MS) { exchange(instance) }
    }

    private fun place(arrival: MixArrival): ModelRequest {
        val instance = instances[random.nextInt(instances.size)]
        val size = RequestSize(arrival.promptTokens, arrival.events.toLong() * mix.speed.stepsPerPass)
        val demand = ForwardDemand(size, arrival.kind.targetMs, isStreaming = true)
        val work = instance.placer.place(demand, mix.speed.profile, engines.keys.toList(), nowMs.toLong())
            ?: return ModelRequest(arrival, engines.values.first(), partCount = 0)
        val helpers = work.placement.helpers.map { engines.getValue(it.upstream) }
        val decodingEngine = engines.getValue(work.placement.upstream)
        val request = ModelRequest(arrival, decodingEngine, helpers.size + 1)
        inProgress[request] = instance.loads.begin(work, nowMs.toLong())
        if (!size.isShort) schedule(nowMs + SEND_DELAY_MS) { instance.exchange.sendNow(it.toLong(), it.toLong()) }
        decodingEngine.accept(request, helpers.size + 1, nowMs)
        helpers.forEach { it.acceptHelperPart(request, helpers.size + 1, nowMs) }
        return request
    }

    /** Mean fraction of [ForwardMix.seconds] that the engines spent in passes. */
    fun utilisation(): Double = engines.values.sumOf { it.busyMs } / (mix.seconds * MS_PER_S * engines.size)

    private companion object {
        const val DATA_CENTRES = 5
        const val EXCHANGE_MS = 200.0
        const val HOP_MS = 2.0
        const val SEND_DELAY_MS = 2.0
        const val TAIL_S = 20.0
        const val MS_PER_S = 1e3
        const val SEED_PRIME = 7_919L
    }
}
