package org.godwitwick.node.forward

import org.godwitwick.core.forward.FeedSourceSelector
import org.godwitwick.core.forward.ForwardAdmission
import org.godwitwick.core.forward.KeyFreshness
import org.godwitwick.core.forward.OperatorRecord
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.StreamTimeoutRule
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.reserveShareOf
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.Drain
import org.godwitwick.node.http.InFlightExchanges
import org.godwitwick.node.http.ReadinessGate
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.peer.StatementRow
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * An instance that forwards requests along the routes of a platform's configuration. It is stateless: configuration and upstreams
 * are read from the platform's store.
 *
 * @param storeCalls counter of the calls to that store, which appears among the metrics.
 */
class ForwardNode(
    private val settings: ForwardSettings,
    dialect: ForwardDialect,
    configFeed: RecordFeed<OperatorRecord>,
    upstreamFeed: RecordFeed<UpstreamEntry>,
    registry: InstanceRegistry,
    quarantines: QuarantineStore,
    storeCalls: StoreCalls = StoreCalls(),
) : AutoCloseable {
    private val metrics = NodeMetrics().also { storeCalls.register(it.registry) }
    private val control = ControlThread(metrics::controlQueueDelay)
    private val loads = UpstreamLoads()
    private val keptPrompts = settings.promptsKeptMs.takeIf { it > 0 }?.let(::KeptPrompts)
    private val peerLoads: PeerLoads = PeerLoads { shares.queue.onReport() }
    private val prefillQueue = PrefillQueue(MAX_WAITING)
    private val shares: PrefillShares =
        PrefillShares(prefillQueue, FleetRecentWork(peerLoads), metrics.registry, Clocks::steadyMs, Random.Default)
    private val self = RegisteredInstance(
        InstanceId(settings.instanceName),
        settings.dataCentre,
        settings.peerAddress,
        "${settings.listenHost}:${settings.listenPort}".takeIf { settings.listenPort > 0 },
    )
    private val caches = listOf(CONFIG_FEED, UPSTREAM_FEED).associateWith { FeedCache(Clocks::read) }
    private val crashGuard = CrashGuard(Clocks::steadyMs, { quarantineKeeper.save() }) { rows -> peers.sendQuarantine(rows) }
    private val peers: ForwardPeers =
        ForwardPeers(self, registry, loads, peerLoads, shares.work::own, caches, crashGuard, ::onStatementRow, {
            quarantineKeeper.save()
        })
    private val quarantineKeeper: QuarantineKeeper =
        QuarantineKeeper(quarantines, crashGuard::lastingRows, { crashGuard.onRows("the store", it) })
    private val statements =
        UpstreamStatements(self.id, { peers.fleet.ids }, Clocks::steadyMs) { row -> peers.sendStatement(row) }
    private val freshness = KeyFreshness(settings.revocationMs)
    private val coldTracker: ColdTracker =
        ColdTracker(statements, settings.coldBound, { fleetView.routing.table }, Clocks::steadyMs) { peers.sendStatement(it) }
    private val fleetView: FleetView = FleetView(control, loads, statements, coldTracker, settings.evacuationMs, Clocks::steadyMs)
    private val relay: Relay = Relay(
        peers.fleet::others,
        { fleetView.upstreams.mapValues { (_, entries) -> entries.map { it.address } } },
        CONNECT_TIMEOUT_MS,
        Clocks::steadyMs,
        Random.Default,
    ) { client.closeIdle() }
    private val relayHeaders = RelayHeaders { peers.secret }
    private val client: ForwardClient = ForwardClient(dialect, CONNECT_TIMEOUT_MS, ::onStatement, relay, relayHeaders)
    private val reservations = Reservations(client, dialect, holdMsOf(settings), fleetView::isUsable)
    private val runs = RunWatch(Clocks::steadyMs)
    private val inFlight = InFlightExchanges()
    private val context = ForwardContext(
        dialect = dialect,
        fleetView = fleetView,
        admission = ForwardAdmission(freshness),
        placer = WorkPlacer(
            PlacementRule(Random.Default),
            loads,
            peerLoads,
            peers.fleet::instanceCount,
            keptPrompts = keptPrompts,
        ),
        streamTimeouts = StreamTimeoutRule(settings.stallMs),
        client = client,
        reservations = reservations,
        loads = loads,
        budgets = RetryBudgets(
            settings.retryFraction * RETRY_SAFETY_FACTOR,
            { reserveShareOf(settings.retryReserve, peers.fleet.largestCount) },
            settings.retryWindowMs + settings.retryWindowMs / RETRY_WINDOW_SLOTS,
        ),
        prefillQueue = prefillQueue,
        shares = shares,
        limitQueue = LimitQueue(MAX_WAITING),
        crashGuard = crashGuard,
        statements = statements,
        metrics = ForwardMetrics(
            metrics.registry,
            crashGuard::quarantinedCount,
            statements::limitedCount,
            statements::leavingCount,
            { if (relay.isCutOff) 1 else 0 },
            { fleetView.evacuated.size },
            statements::coldCount,
        ),
        random = Random.Default,
        relay = relay,
        relayHeaders = relayHeaders,
        onLongPromptPlaced = peers::sendLoadSoon,
        bodyMemory = BodyMemory(settings.bodyMemoryBytes, Clocks::steadyMs).also { it.register(metrics.registry) },
        keptPrompts = keptPrompts,
        regions = settings.regions,
    )
    private val configFollower =
        follower(CONFIG_FEED, configFeed, operatorPacingOf(settings), fleetView.operatorListener)
    private val upstreamFollower =
        follower(UPSTREAM_FEED, upstreamFeed, FeedPacings.ofUpstreams(settings.leavingMs), fleetView.upstreamListener)

    private val drain = Drain(
        ReadinessGate(),
        inFlight,
        NOTICE_MS,
        Clocks::steadyMs,
        limitMs = (settings.graceMs - NOTICE_MS - STOP_MARGIN_MS).coerceAtLeast(0),
    )
    private val server = StreamingUndertow(
        settings.listenHost,
        settings.listenPort,
        WORKER_THREADS,
        maxHeaderBytes = MAX_HEADER_BYTES,
        inFlight = inFlight,
        isClosing = drain::isDraining,
        idleTimeoutMs = IDLE_TIMEOUT_MS,
        headerTimeoutMs = HEADER_TIMEOUT_MS,
    ).toDisconnectAwareServer(ForwardHandler(context, runs, MAX_IN_FLIGHT, drain::refusal, inFlight::extendDeadline)::answer)
    private val operations = StreamingUndertow(
        settings.readinessHost,
        settings.readinessPort,
        OPERATION_THREADS,
    ).toServer(::answerOperations)

    /** Port for callers; valid after [start]. */
    val port: Int get() = server.port()

    /** Port for readiness and metrics; valid after [start]. */
    val operationsPort: Int get() = operations.port()

    /** Whether the load balancer may send new connections. */
    val isReady: Boolean
        get() {
            val config = fleetView.routing
            val knowsFleet = config.table != null && fleetView.hasRegistered
            return !drain.isDraining && knowsFleet && freshness.mayAcceptKeys(config.provenAt, Clocks.read())
        }

    /** Starts to serve callers, and to follow the store. */
    fun start() {
        if (keptPrompts != null) control.every(KEPT_PROMPTS_PERIOD_MS) { forgetLostPrompts(keptPrompts) }
        configFollower.start()
        upstreamFollower.start()
        quarantineKeeper.start()
        peers.start()
        relay.start()
        operations.start()
        server.start()
        log.info("start: {} serves callers on {}:{}", settings.instanceName, settings.listenHost, settings.listenPort)
    }

    /** Fails readiness and asks callers to reconnect elsewhere. Requests are still accepted until [awaitStopped] refuses them. */
    fun beginStop() = drain.begin()

    /**
     * Waits until the load balancer has noticed, then refuses new requests and waits until none is in flight. Requests that would
     * last longer than the grace period get an answer that says so. Takes at most the grace period less a margin.
     */
    fun awaitStopped() {
        if (drain.await() == 0) return
        runs.cancelAll()
        val remaining = inFlight.awaitNone(Clocks::steadyMs, graceMs = ANSWER_MS, limitMs = ANSWER_MS)
        log.info("stop: {} exchanges have no answer", remaining)
    }

    private fun forgetLostPrompts(kept: KeptPrompts) {
        val processes = fleetView.upstreams.values.flatMapTo(HashSet()) { list -> list.map { it.processKey } }
        kept.retain(processes, Clocks.steadyMs())
    }

    private fun <T> follower(name: String, feed: RecordFeed<T>, pacing: FeedPacing, listener: FeedListener<T>): FeedFollower<T> {
        val reader = SharedReader(
            name,
            self.id,
            StoreReader(name, feed, settings.heartbeatMs, Clocks::read),
            caches.getValue(name),
            FeedSourceSelector(self.id, self.dataCentre),
            pacing,
            peers.fleet::plan,
            peers::ask,
            Clocks::read,
        )
        return FeedFollower(name, reader, feed::decode, listener)
    }

    private fun onStatement(upstream: UpstreamEntry, statement: UpstreamStatement) {
        statements.onAnswer(upstream, statement)
        coldTracker.onAnswer(upstream, statement)
    }

    private fun onStatementRow(row: StatementRow) = if (row.coldMs == null) statements.onRow(row) else coldTracker.onRow(row)

    private fun answerOperations(request: Request): Response = when (request.uri.path) {
        settings.readinessPath -> Response(if (isReady) Status.OK else Status.SERVICE_UNAVAILABLE)
        settings.metricsPath -> Response(Status.OK).header("Content-Type", NodeMetrics.CONTENT_TYPE).body(metrics.render())
        else -> Response(Status.NOT_FOUND)
    }

    override fun close() {
        configFollower.close()
        upstreamFollower.close()
        peers.close()
        quarantineKeeper.close()
        relay.close()
        server.stop()
        operations.stop()
        reservations.close()
        runs.close()
        control.close()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ForwardNode::class.java)

        /**
         * Connecting within a region takes a few milliseconds. A lost packet is resent after 1 s, so a slightly longer timeout
         * would gain little.
         */
        const val CONNECT_TIMEOUT_MS = 150L

        /** Each request in flight occupies a thread. */
        const val WORKER_THREADS = 160
        const val MAX_IN_FLIGHT = 150

        /** A third of the requests in flight, so that waiting ones never keep short requests out. */
        const val MAX_WAITING = 50
        const val OPERATION_THREADS = 2

        /** Only bounds the memory; what has ended is not used in any case. */
        const val KEPT_PROMPTS_PERIOD_MS = 5_000L
        const val MAX_HEADER_BYTES = 64 * 1024

        /** Longer than the idle and header timeouts that callers are promised, so that no caller is cut off early. */
        const val IDLE_TIMEOUT_MS = 120_000
        const val HEADER_TIMEOUT_MS = 30_000

        const val CONFIG_FEED = "config"
        const val UPSTREAM_FEED = "upstreams"

        /** Factor on the fleet's retry fraction, because the windows of different instances do not start at the same time. */
        const val RETRY_SAFETY_FACTOR = 0.8
        const val RETRY_WINDOW_SLOTS = 5

        /**
         * The load balancer probes once a second and removes an instance after two failed probes. It may still send connections
         * later if few instances are ready; their requests are refused because they could not be finished in time.
         */
        const val NOTICE_MS = 2_500L
        const val STOP_MARGIN_MS = 500L

        /** Part of [STOP_MARGIN_MS] in which the requests that have not ended are answered. */
        const val ANSWER_MS = 250L

        /**
         * A reservation that is not extended must expire well before [ForwardSettings.freeMs], after which it counts as leaked.
         */
        const val HOLD_MARGIN_MS = 1_000L

        fun operatorPacingOf(settings: ForwardSettings) =
            FeedPacings.ofOperator(settings.revocationMs, settings.applyMs, settings.evacuationMs)

        fun holdMsOf(settings: ForwardSettings) = (settings.freeMs - HOLD_MARGIN_MS).coerceIn(HOLD_MARGIN_MS, settings.maxHoldMs)
    }
}
