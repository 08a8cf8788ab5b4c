package org.godwitwick.node.forward

import org.godwitwick.core.forward.FeedSourceSelector
import org.godwitwick.core.forward.ForwardAdmission
import org.godwitwick.core.forward.KeyFreshness
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.StreamTimeoutRule
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.reserveShareOf
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.Drain
import org.godwitwick.node.http.InFlightExchanges
import org.godwitwick.node.http.ReadinessGate
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.metrics.NodeMetrics
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * One instance that forwards requests on the routes of a platform's configuration. It keeps nothing: configuration and upstreams come
 * from the platform's store.
 */
class ForwardNode(
    private val settings: ForwardSettings,
    dialect: ForwardDialect,
    configFeed: RecordFeed<RoutingConfig>,
    upstreamFeed: RecordFeed<UpstreamEntry>,
    registry: InstanceRegistry,
) : AutoCloseable {
    private val metrics = NodeMetrics()
    private val control = ControlThread(metrics::controlQueueDelay)
    private val loads = UpstreamLoads()
    private val peerLoads = PeerLoads()
    private val self = RegisteredInstance(InstanceId(settings.instanceName), settings.dataCentre, settings.peerAddress)
    private val caches = listOf(CONFIG_FEED, UPSTREAM_FEED).associateWith { FeedCache(Clocks::read) }
    private val peers = ForwardPeers(self, registry, loads, peerLoads, caches)
    private val freshness = KeyFreshness(settings.revocationMs)
    private val knowledge = FleetKnowledge(control, loads, Clocks::steadyMs)
    private val client = ForwardClient(dialect, CONNECT_TIMEOUT_MS)
    private val reservations = Reservations(client, dialect, holdMsOf(settings))
    private val runs = RunWatch(Clocks::steadyMs)
    private val inFlight = InFlightExchanges()
    private val parts = ForwardParts(
        dialect = dialect,
        knowledge = knowledge,
        admission = ForwardAdmission(freshness),
        placer = WorkPlacer(PlacementRule(Random.Default), loads, peerLoads, Random.Default, peers.fleet::instanceCount),
        patience = StreamTimeoutRule(settings.stallMs),
        client = client,
        reservations = reservations,
        loads = loads,
        budgets = RetryBudgets(
            settings.retryFraction * RETRY_SAFETY,
            { reserveShareOf(settings.retryReserve, peers.fleet.largestCount) },
            settings.retryWindowMs + settings.retryWindowMs / RETRY_SLOTS,
        ),
        metrics = ForwardMetrics(metrics.registry),
        random = Random.Default,
        onLongPlaced = peers::tellSoon,
    )
    private val configFollower = follower(CONFIG_FEED, configFeed, FeedTiming.ofConfig(settings), knowledge.configListener)
    private val upstreamFollower =
        follower(UPSTREAM_FEED, upstreamFeed, FeedTiming.ofUpstreams(settings), knowledge.upstreamListener)

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
    ).toDisconnectAwareServer(ForwardHandler(parts, runs, MAX_IN_FLIGHT, drain::refusal, inFlight::extendDeadline)::answer)
    private val operations = StreamingUndertow(
        settings.readinessHost,
        settings.readinessPort,
        OPERATION_THREADS,
    ).toServer(::operate)

    /** Port on which callers are served, after [start]. */
    val port: Int get() = server.port()

    /** Port on which readiness and metrics are served, after [start]. */
    val operationsPort: Int get() = operations.port()

    /** Whether the balancer may send new connections. */
    val isReady: Boolean
        get() {
            val config = knowledge.config
            val knowsFleet = config.table != null && knowledge.upstreams.isNotEmpty()
            return !drain.isDraining && knowsFleet && freshness.mayAcceptKeys(config.provenAt, Clocks.read())
        }

    /** Begins to serve. */
    fun start() {
        configFollower.start()
        upstreamFollower.start()
        peers.start()
        operations.start()
        server.start()
        log.info("start: {} serves {}:{}", settings.instanceName, settings.listenHost, settings.listenPort)
    }

    /** Fails readiness and asks callers to reconnect elsewhere; requests are still served for a while. */
    fun beginStop() = drain.begin()

    /**
     * Waits until the balancer has noticed, refuses new requests from then on, and waits until nothing is in flight, at the longest for
     * most of the grace period.
     */
    fun awaitStopped() {
        drain.await()
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

    private fun operate(request: Request): Response = when (request.uri.path) {
        settings.readinessPath -> Response(if (isReady) Status.OK else Status.SERVICE_UNAVAILABLE)
        settings.metricsPath -> Response(Status.OK).header("Content-Type", NodeMetrics.CONTENT_TYPE).body(metrics.render())
        else -> Response(Status.NOT_FOUND)
    }

    override fun close() {
        configFollower.close()
        upstreamFollower.close()
        peers.close()
        server.stop()
        operations.stop()
        reservations.close()
        runs.close()
        control.close()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ForwardNode::class.java)

        /** Connections within a region take a few milliseconds. A lost packet is sent again after a second, so waiting longer gains little. */
        const val CONNECT_TIMEOUT_MS = 150L

        /** Each request in flight holds a thread. */
        const val WORKER_THREADS = 160
        const val MAX_IN_FLIGHT = 150
        const val OPERATION_THREADS = 2
        const val MAX_HEADER_BYTES = 64 * 1024

        /** Longer than the idle and header timeouts that callers are told, so that none is cut off before. */
        const val IDLE_TIMEOUT_MS = 120_000
        const val HEADER_TIMEOUT_MS = 30_000

        const val CONFIG_FEED = "config"
        const val UPSTREAM_FEED = "upstreams"

        /** Part of the fleet's retry fraction that is used, since windows of different instances don't begin together. */
        const val RETRY_SAFETY = 0.8
        const val RETRY_SLOTS = 5

        /**
         * The balancer asks once a second and takes an instance out after two misses. Connections may still come later, when few instances
         * are ready; what they bring could not be finished in time.
         */
        const val NOTICE_MS = 2_500L
        const val STOP_MARGIN_MS = 500L

        /** A reservation that nobody extends has to end well before it counts as left behind. */
        const val HOLD_MARGIN_MS = 1_000L

        fun holdMsOf(settings: ForwardSettings) = (settings.freeMs - HOLD_MARGIN_MS).coerceIn(HOLD_MARGIN_MS, settings.maxHoldMs)
    }
}
