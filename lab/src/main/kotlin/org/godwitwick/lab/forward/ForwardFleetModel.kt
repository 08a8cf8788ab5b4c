package org.godwitwick.lab.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.PlacementSettings
import org.godwitwick.core.forward.PrefillSplitRule
import org.godwitwick.core.forward.PrefillSplitSettings
import org.godwitwick.core.forward.PrefillStartRule
import org.godwitwick.core.forward.PrefillStartSettings
import org.godwitwick.core.forward.RankedPlacementRule
import org.godwitwick.core.forward.RankedPlacementSettings
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.RoutingTable
import org.godwitwick.core.forward.SilenceTimer
import org.godwitwick.core.forward.StatedRank
import org.godwitwick.core.forward.StreamTimeoutRule
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.WeightedService
import org.godwitwick.core.forward.urgencyOf
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.forward.ForwardDemand
import org.godwitwick.node.forward.LoadExchange
import org.godwitwick.node.forward.PeerLoads
import org.godwitwick.node.forward.PlacedWork
import org.godwitwick.node.forward.PlacementDecision
import org.godwitwick.node.forward.RegisteredInstance
import org.godwitwick.node.forward.UpstreamLoads
import org.godwitwick.node.forward.WorkPlacer
import org.godwitwick.node.peer.ForwardLoad
import java.util.PriorityQueue
import kotlin.random.Random

/** Decisions that use the stated rank of a request, to compare what each is worth. */
enum class RankUse { URGENCY, LONG_PROMPTS, SHORT_PROMPTS }

/**
 * Named settings of the placement rules, to compare in one experiment.
 *
 * @property start settings of the waits of long prompts.
 * @property toleratesPrefill whether the silence of an engine that prefills is no failure.
 * @property ranked settings of the placement by rank.
 * @property ranks the decisions that use the stated ranks.
 * @property rankedShare fraction of the instances that know ranks; the others are of the version before.
 */
data class PlacementVariant(
    val name: String,
    val placement: PlacementSettings = PlacementSettings(),
    val split: PrefillSplitSettings = PrefillSplitSettings(),
    val start: PrefillStartSettings = PrefillStartSettings(),
    val toleratesPrefill: Boolean = true,
    val ranked: RankedPlacementSettings = RankedPlacementSettings(),
    val ranks: Set<RankUse> = RankUse.entries.toSet(),
    val rankedShare: Double = 1.0,
) {
    companion object {
        /** The settings that the product uses. */
        val CURRENT = PlacementVariant("current")

        /** With the decisions that use stated ranks added one after the other. */
        val RANK_STEPS = listOf(
            PlacementVariant("unranked", ranks = emptySet()),
            PlacementVariant("rank-urgency", ranks = setOf(RankUse.URGENCY)),
            PlacementVariant("rank-half-fleet", rankedShare = 0.5),
            PlacementVariant("rank-long", ranks = setOf(RankUse.URGENCY, RankUse.LONG_PROMPTS)),
        )

        /** Without the tolerance for the silence of engines that prefill. */
        val SILENCE_IS_LOSS = PlacementVariant("silence-is-loss", toleratesPrefill = false)

        /** Without waits of long prompts at their instance. */
        val NO_WAIT =
            PlacementVariant("no-wait", start = PrefillStartSettings(backlogWeight = 0.0, idleBacklogMs = Double.MAX_VALUE))

        /** With as many engines shared among short requests, and as little room kept on them, as before. */
        val MORE_SHARED = PlacementVariant(
            "more-shared",
            PlacementSettings(minSharedEngines = 4),
            PrefillSplitSettings(expectedSharedStreams = 0.5),
        )

        /** The settings of the product before bursts of long prompts were modelled. */
        val PREVIOUS = PlacementVariant(
            "before",
            PlacementSettings(streamShare = 0.4),
            PrefillSplitSettings(
                safeTargetShare = 0.4,
                tokensPerRequest = 10_000.0,
                longStreamValue = 3.0,
                expectedOtherStreams = 0.15,
            ),
        )
    }
}

/**
 * Entry instances that place the requests of a [mix] on modelled engines with the rules of the product. Each instance learns the
 * work sent by the others with the delay of the load exchange. All times are model time.
 */
class ForwardFleetModel(private val mix: ForwardMix, private val variant: PlacementVariant, seed: Long) {
    private class Event(val atMs: Double, val order: Long, val action: (Double) -> Unit)

    private inner class Instance(index: Int, variant: PlacementVariant, seed: Long) {
        private val random = Random(seed * SEED_PRIME + index)
        val knowsRanks = index < mix.instances * variant.rankedShare
        val registered = RegisteredInstance(InstanceId("entry-$index"), "dc-${index % DATA_CENTRES}", "entry-$index:1")
        val loads = UpstreamLoads()
        val peerLoads = PeerLoads()
        val placer = WorkPlacer(
            PlacementRule(random, variant.placement, PrefillSplitRule(variant.split)),
            loads,
            peerLoads,
            { instances.size },
            PrefillStartRule(variant.start),
            RankedPlacementRule(random, variant.ranked),
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
                SERVICE,
                "engine-$i:1",
                "dc",
                mix.speed.profile.slots,
                isLeaving = false,
                startedAtMs = 1,
            )
        entry to
            PassEngine(mix.speed, ::schedule, { inProgress.getValue(it).work.onPrefillDone() }, ::end)
    }

    private val upstreams = UpstreamList.of(engines.keys)

    private class Sent(
        val instance: Instance,
        val attempt: ModelAttempt,
        val engines: List<UpstreamEntry>,
        val work: UpstreamLoads.WorkInProgress,
        var lastSignMs: Double,
    ) {
        val silence = SilenceTimer()

        fun restartTimer(nowMs: Double, limitMs: Long?) {
            lastSignMs = nowMs
            silence.restart(limitMs, nowMs.toLong())
        }
    }

    private val inProgress = HashMap<ModelRequest, Sent>()
    private val streamTimeouts = StreamTimeoutRule(STALL_MS)
    private val routes = mix.kinds.associateWith(::routeOf)
    private val table = RoutingTable(
        RoutingConfig(
            1,
            routes.values.toList(),
            listOf(ForwardService(SERVICE, mix.speed.profile)),
            organisations = null,
            limits = null,
        ),
    )
    private val ranks = table.ranksOf(SERVICE)
    private val pauses = PauseTargets.of(routes.values.toList(), SERVICE)
    private val profile = mix.speed.profile.copy(passMs = mix.speed.stepMs * mix.speed.stepsPerPass)
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
        val request = ModelRequest(arrival)
        send(request, instances[random.nextInt(instances.size)])
        schedule(nowMs + WATCH_MS) { watch(request) }
        return request
    }

    private fun send(request: ModelRequest, instance: Instance) {
        val size = RequestSize(request.promptTokens, request.remainingEvents.toLong() * mix.speed.stepsPerPass)
        val sinceMs = (if (request.lastEventMs.isNaN()) request.arrivedMs else request.lastEventMs).toLong()
        val targetMs = if (request.lastEventMs.isNaN()) request.kind.targetMs else request.kind.pauseTargetMs
        val leavesAtMs = minOf(sinceMs + request.patienceMs.toLong(), request.arrivedMs.toLong() + request.kind.deadlineMs)
        val wait = CallerWait(sinceMs, targetMs, leavesAtMs)
        val use = if (size.isShort) RankUse.SHORT_PROMPTS else RankUse.LONG_PROMPTS
        val rank = if (instance.knowsRanks) rankOf(request, use) else null
        val demand = ForwardDemand(size, wait, isStreaming = true, pauses, rank)
        val decision = instance.placer.place(demand, profile, upstreams, nowMs.toLong())
        when (decision) {
            is PlacementDecision.Send -> begin(request, size, decision.work, instance)

            is PlacementDecision.Wait ->
                schedule(nowMs + random.nextDouble(MIN_TURN_MS, MAX_TURN_MS)) { if (!request.isEnded) send(request, instance) }

            is PlacementDecision.Reject, is PlacementDecision.Limited, is PlacementDecision.NoUpstream -> request.isEnded = true
        }
    }

    private fun rankOf(request: ModelRequest, use: RankUse): StatedRank? {
        if (use !in variant.ranks) return null
        return ranks?.let { StatedRank(it.levelOf(table.rankOf(routes.getValue(request.kind), null)), it) }
    }

    private fun begin(request: ModelRequest, size: RequestSize, work: PlacedWork, instance: Instance) {
        request.attempts++
        val decodingEngine = engines.getValue(work.placement.upstream)
        val helpers = work.placement.helpers.map { engines.getValue(it.upstream) }
        val attempt =
            ModelAttempt(
                request,
                decodingEngine,
                helpers + decodingEngine,
                urgencyOf(size, if (instance.knowsRanks) rankOf(request, RankUse.URGENCY) else null),
            )
        val entries = work.placement.helpers.map { it.upstream } + work.placement.upstream
        val sent = Sent(instance, attempt, entries, instance.loads.begin(work, nowMs.toLong()), nowMs)
        sent.restartTimer(nowMs, streamTimeouts.firstEventTimeoutMs(routes.getValue(request.kind), request.attempts - 1))
        inProgress[request] = sent
        if (work.isLongPrompt) schedule(nowMs + SEND_DELAY_MS) { instance.exchange.sendNow(it.toLong(), it.toLong()) }
        attempt.engines.forEach { it.accept(attempt, nowMs) }
    }

    // The caller leaves when it has waited too long, and the instance sends a silent stream to another engine.
    private fun watch(request: ModelRequest) {
        if (request.isEnded) return
        val lastSignMs = if (request.lastEventMs.isNaN()) request.arrivedMs else request.lastEventMs
        if (nowMs - lastSignMs >= request.patienceMs || nowMs - request.arrivedMs >= request.kind.deadlineMs) {
            inProgress[request]?.attempt?.cancel()
            end(request)
            return
        }
        val sent = inProgress[request]
        if (sent != null && isSilentTooLong(request, sent)) {
            sent.attempt.cancel()
            sent.work.end()
            inProgress.remove(request)
            send(request, sent.instance)
        }
        schedule(nowMs + WATCH_MS) { watch(request) }
    }

    private fun isSilentTooLong(request: ModelRequest, sent: Sent): Boolean {
        if (request.lastEventMs > sent.lastSignMs) sent.restartTimer(request.lastEventMs, eventGapTimeoutMs(request))
        return sent.silence.isExceeded(nowMs.toLong()) {
            variant.toleratesPrefill && sent.instance.placer.isPrefilling(sent.engines, nowMs.toLong())
        }
    }

    private fun eventGapTimeoutMs(request: ModelRequest) =
        streamTimeouts.eventGapTimeoutMs(routes.getValue(request.kind), earlierRuns = request.attempts - 1)

    private fun end(request: ModelRequest) {
        request.isEnded = true
        inProgress.remove(request)?.work?.end()
    }

    private fun routeOf(kind: MixKind) = ForwardRoute(
        kind.name,
        "model.example",
        "/${kind.name}/",
        RouteKind.Streaming(isResumable = true),
        timeoutMs = TIMEOUT_MS,
        targetMs = kind.targetMs,
        gapTargetMs = kind.pauseTargetMs,
        split = listOf(WeightedService(SERVICE, 1.0)),
        maxRuns = 2,
        isPublic = true,
        priority = kind.priority,
    )

    /** Prompt tokens that the engines prefilled, as a multiple of those that arrived. */
    fun prefillOverhead(): Double = engines.values.sumOf { it.prefilledTokens } / arrivals.sumOf { it.promptTokens }

    /** Mean fraction of [ForwardMix.seconds] that the engines spent in passes. */
    fun utilisation(): Double = engines.values.sumOf { it.busyMs } / (mix.seconds * MS_PER_S * engines.size)

    private companion object {
        const val SERVICE = "llm"
        const val DATA_CENTRES = 5
        const val EXCHANGE_MS = 200.0
        const val HOP_MS = 2.0
        const val SEND_DELAY_MS = 2.0
        const val STALL_MS = 1_500L
        const val TIMEOUT_MS = 15_000L
        const val WATCH_MS = 50.0
        const val MIN_TURN_MS = 20.0
        const val MAX_TURN_MS = 40.0
        const val TAIL_S = 20.0
        const val MS_PER_S = 1e3
        const val SEED_PRIME = 7_919L
    }
}
