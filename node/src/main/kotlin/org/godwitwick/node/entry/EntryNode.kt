package org.godwitwick.node.entry

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.admin.AdminRoutes
import org.godwitwick.node.config.ConfigBounds
import org.godwitwick.node.config.ConfigSystem
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.CallerRoutes
import org.godwitwick.node.http.Drain
import org.godwitwick.node.http.InFlightExchanges
import org.godwitwick.node.http.OperationRoutes
import org.godwitwick.node.http.ReadinessGate
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.node.memory.bodyMemoryBytes
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.platform.HttpInstanceList
import org.godwitwick.node.platform.HttpPlatformLog
import org.godwitwick.node.platform.InstanceListPoller
import org.godwitwick.node.platform.PlatformLog
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.RequestIdInterceptor
import org.godwitwick.node.upstream.noRetryClientBuilder
import org.http4k.core.then
import org.http4k.routing.routes
import org.http4k.server.Http4kServer
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * An entry instance, as run by the `serve` command.
 *
 * @param peerSecret the secret shared by the instances, or null for an instance without peers.
 * @param platformLog the log of the platform, or null to use the log at [NodeSettings.logUrl].
 */
class EntryNode(
    private val settings: NodeSettings,
    keyFile: KeyFile,
    peerSecret: ByteArray? = null,
    platformLog: PlatformLog? = null,
) : AutoCloseable {
    private val metrics = NodeMetrics()
    private val inFlight = InFlightExchanges()

    /** Tracks the reasons for which this instance is not ready. */
    val readiness = ReadinessGate().apply { block("starting", "the instance is starting") }
    private val drain = Drain(readiness, inFlight, settings.drainNoticeMs, System::currentTimeMillis)
    private val incarnation = System.currentTimeMillis()
    private val self = Peer(InstanceId(settings.instanceId), settings.region, settings.dataCentre)
    private val keys = KeyRing(keyFile.keys)
    private val control = ControlThread(metrics::controlQueueDelay)
    private val client = upstreamHttpClient(settings)
    private val listPoller = InstanceListPoller(HttpInstanceList(client, settings.instanceListUrl), settings.listPollMs)
    private val records = platformLog ?: HttpPlatformLog(client, settings.logUrl)
    private val config = ConfigSystem(
        self,
        incarnation,
        peerSecret,
        records,
        listPoller::instances,
        control,
        ConfigBounds(settings.cutOffGraceMs, settings.logRetentionMs),
        settings.host,
        settings.peerPort,
    )
    private val routing = RoutingSystem(
        self,
        incarnation,
        client,
        control,
        listPoller::instances,
        config::view,
        config.peers.rows,
        config.peers::members,
    )
    private val bodyMemory =
        BodyMemory(bodyMemoryBytes(settings.bodyMemoryFraction), System::currentTimeMillis).also { it.register(metrics.registry) }
    private val newWork = NewWorkGuard(drain, config::freshness)
    private val callers = CallerRoutes(
        keys = keys,
        generate = routing.generate,
        config = config::view,
        nowMs = System::currentTimeMillis,
        metrics = metrics,
        refusal = newWork::refusal,
        onDeadline = inFlight::extendDeadline,
        bodyMemory = bodyMemory,
    )
    private val services = ServiceComponents(
        settings,
        keys,
        client,
        peers = config.peers.network,
        config = config::view,
        listed = listPoller::instances,
        nowMs = System::currentTimeMillis,
        bodyMemory = bodyMemory,
        log = records,
        registry = metrics.registry,
    )
    private val server: Http4kServer = StreamingUndertow(
        settings.host,
        settings.httpPort,
        settings.workerThreads,
        inFlight = inFlight,
        isClosing = drain::isDraining,
        writeTimeoutMs = settings.stallTimeoutMs,
    ).toServer(
        routes(
            callers.routes(),
            newWork.filter().then(services.routes()),
            AdminRoutes(keys, config, control, listPoller::instances).routes(),
            OperationRoutes(readiness, metrics).routes(),
        ),
    )

    /** The components through which this instance uses the engines. */
    val engineGateway: EngineGateway get() = routing.engineGateway

    /** Port on which this instance serves callers. */
    val httpPort: Int get() = server.port()

    /** Starts all components and begins to serve callers. */
    fun start() {
        metrics.exposeEngineEvents(engineGateway.counters)
        listPoller.start()
        config.start()
        config.follower.onPause(routing::onResumed)
        routing.start()
        services.start()
        control.every(READINESS_PERIOD_MS, ::updateReadiness)
        server.start()
        log.info("node: instance {} serves callers on port {}", settings.instanceId, httpPort)
    }

    // Until the other instances include this one when they divide limits, its part of every limit is zero, so callers should go
    // elsewhere.
    private fun updateReadiness() {
        newWork.updateReadiness(readiness)
        if (routing.isSettled()) {
            readiness.open(
                "starting",
            )
        } else {
            readiness.block("starting", "the other instances do not include this instance yet when they divide limits")
        }
    }

    /** Begins the graceful shutdown and returns immediately. May be called from any thread and more than once. */
    fun beginDrain() {
        config.peers.membership.isLeaving = true
        drain.begin()
    }

    /** Waits until the notice period of the shutdown has passed and the requests in flight have ended. */
    fun awaitDrained() {
        drain.await()
    }

    override fun close() {
        server.stop()
        routing.close()
        services.close()
        config.close()
        listPoller.close()
        control.close()
        log.info("node: instance {} stopped", settings.instanceId)
    }

    private companion object {
        val log = LoggerFactory.getLogger(EntryNode::class.java)
        const val IDLE_CONNECTIONS = 64
        const val IDLE_MINUTES = 1L
        const val MAX_CALLS = 4_096
        const val READINESS_PERIOD_MS = 250L

        fun upstreamHttpClient(settings: NodeSettings): OkHttpClient = noRetryClientBuilder()
            .addInterceptor(RequestIdInterceptor)
            .connectTimeout(settings.stallTimeoutMs, TimeUnit.MILLISECONDS)
            .readTimeout(settings.stallTimeoutMs, TimeUnit.MILLISECONDS)
            .writeTimeout(settings.stallTimeoutMs, TimeUnit.MILLISECONDS)
            .connectionPool(ConnectionPool(IDLE_CONNECTIONS, IDLE_MINUTES, TimeUnit.MINUTES))
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_CALLS
                    maxRequestsPerHost = MAX_CALLS
                },
            )
            .build()
    }
}
