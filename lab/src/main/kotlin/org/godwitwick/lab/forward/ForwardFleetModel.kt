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

/** The settings of the rules that a run compares. */
data class PlacementVariant(
    val name: String,
    val placement: PlacementSettings = PlacementSettings(),
    val split: PrefillSplitSettings = PrefillSplitSettings(),
) {
    companion object {
        /** The settings that the product uses. */
        val CURRENT = PlacementVariant("current")

        /** The settings that the product used before long bursts were modelled. */
        val BEFORE = PlacementVariant(
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
 * Instances that place a [mix] on model engines with the product's own rules, each knowing what the others sent with the delay of the
 * exchange of loads. Model time only.
 */
class ForwardFleetModel(private val mix: ForwardMix, variant: PlacementVariant, seed: Long) {
    private class Event(val atMs: Double, val order: Long, val action: (Double) -> Unit)

    private inner class Instance(index: Int, variant: PlacementVariant, seed: Long) {
        private val random = Random(seed * PRIME + index)
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
            PassEngine(mix.speed, ::at, { progress.getValue(it).onPrefillDone() }) { progress.remove(it)?.end() }
    }
    private val progress = HashMap<ModelRequest, UpstreamLoads.WorkInProgress>()
    private val instances = ArrayList<Instance>().apply { repeat(mix.instances) { add(Instance(it, variant, seed)) } }
    private val byId = instances.associateBy { it.registered.id }
    private val othersOf = instances.associateWith { self -> instances.filter { it !== self }.map { it.registered } }
    private val arrivals = mix.arrivals(seed)
    private val random = Random(seed)

    private fun at(timeMs: Double, action: (Double) -> Unit) {
        events += Event(timeMs, order++, action)
    }

    private fun deliver(from: InstanceId, to: InstanceId, message: ForwardLoad) =
        at(nowMs + HOP_MS) { byId.getValue(to).peerLoads.onReport(from, message, it.toLong()) }

    /** Plays the mix and returns all requests, those that were refused or never ended included. */
    fun run(): List<ModelRequest> {
        val all = ArrayList<ModelRequest>()
        arrivals.forEach { arrival -> at(arrival.atMs) { all += place(arrival) } }
        instances.forEach { instance -> at(random.nextDouble() * EXCHANGE_MS) { exchange(instance) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMs > (mix.seconds + TAIL_S) * MS_PER_S) break
            nowMs = event.atMs
            event.action(nowMs)
        }
        return all
    }

    private fun exchange(instance: Instance) {
        instance.exchange.round(othersOf.getValue(instance), nowMs.toLong(), nowMs.toLong())
        at(nowMs + EXCHANGE_MS) { exchange(instance) }
    }

    private fun place(arrival: MixArrival): ModelRequest {
        val instance = instances[random.nextInt(instances.size)]
        val size = RequestSize(arrival.promptTokens, arrival.events.toLong() * mix.speed.stride)
        val demand = ForwardDemand(size, arrival.kind.targetMs, isStreaming = true)
        val work = instance.placer.place(demand, mix.speed.profile, engines.keys.toList(), nowMs.toLong())
            ?: return ModelRequest(arrival, engines.values.first(), partCount = 0)
        val helpers = work.placement.helpers.map { engines.getValue(it.upstream) }
        val first = engines.getValue(work.placement.upstream)
        val request = ModelRequest(arrival, first, helpers.size + 1)
        progress[request] = instance.loads.begin(work, nowMs.toLong())
        if (!size.isShort) at(nowMs + TELL_MS) { instance.exchange.sendNow(it.toLong(), it.toLong()) }
        first.accept(request, helpers.size + 1, nowMs)
        helpers.forEach { it.help(request, helpers.size + 1, nowMs) }
        return request
    }

    /** Share of the time in which the engines worked. */
    fun utilisation(): Double = engines.values.sumOf { it.busyMs } / (mix.seconds * MS_PER_S * engines.size)

    private companion object {
        const val DATA_CENTRES = 5
        const val EXCHANGE_MS = 200.0
        const val HOP_MS = 2.0
        const val TELL_MS = 2.0
        const val TAIL_S = 20.0
        const val MS_PER_S = 1e3
        const val PRIME = 7_919L
    }
}
