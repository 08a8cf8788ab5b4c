package org.godwitwick.node.entry

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.admin.AdminRoutes
import org.godwitwick.node.config.ConfigBounds
import org.godwitwick.node.config.ConfigSystem
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.CallerRoutes
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.http.refuseUnconfirmed
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.platform.HttpInstanceList
import org.godwitwick.node.platform.ListPoller
import org.godwitwick.node.platform.PlatformLog
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.node.upstream.EngineClient
import org.godwitwick.node.upstream.FirstReplicaService
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.http4k.server.Http4kServer
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * One entry instance: the library that the `serve` command runs.
 *
 * @param peerSecret the shared secret of the instances, or null for an instance that runs alone.
 * @param platformLog the log, or null for an instance that serves the built-in configuration only.
 */
class EntryNode(
    private val settings: NodeSettings,
    keyFile: KeyFile,
    peerSecret: ByteArray? = null,
    platformLog: PlatformLog? = null,
) : AutoCloseable {
    private val control = ControlThread()
    private val keys = KeyRing(keyFile.keys)
    private val client = upstreamClient(settings)
    private val list = ListPoller(HttpInstanceList(client, settings.instanceListUrl), settings.listPollMs)
    private val config = platformLog?.let { configSystem(it, peerSecret) }
    private val callers = CallerRoutes(
        keys = keys,
        generate = FirstReplicaService(EngineClient(client), list::instances, System::currentTimeMillis),
        bounds = { ClassBounds() },
        defaultTimeoutMs = settings.defaultTimeoutMs,
        nowMs = System::currentTimeMillis,
    )
    private val server: Http4kServer = StreamingUndertow(settings.host, settings.httpPort, settings.workerThreads)
        .toServer(routes(*listOfNotNull(guarded(callers.routes()), adminRoutes(), operationRoutes()).toTypedArray()))

    /** Port on which callers are served. */
    val httpPort: Int get() = server.port()

    /** Starts all parts and serves callers. */
    fun start() {
        list.start()
        config?.start()
        server.start()
        log.info("node: instance {} serves callers on port {}", settings.instanceId, httpPort)
    }

    private fun operationRoutes() = routes(
        "/livez" bind Method.GET to { Response(Status.OK) },
        "/readyz" bind Method.GET to { Response(if (isReady()) Status.OK else Status.SERVICE_UNAVAILABLE) },
    )

    private fun isReady() = config?.follower?.refusesWork() != true

    // New work is refused before any part of it is read; work in flight goes on.
    private fun guarded(callers: RoutingHttpHandler) = callers.withFilter(refuseUnconfirmed { !isReady() })

    private fun adminRoutes() = config?.let { AdminRoutes(keys, it, control, list::instances).routes() }

    private fun configSystem(platformLog: PlatformLog, peerSecret: ByteArray?) = ConfigSystem(
        self = Peer(InstanceId(settings.instanceId), settings.region, settings.dataCentre),
        incarnation = System.currentTimeMillis(),
        secret = peerSecret,
        platformLog = platformLog,
        listed = list::instances,
        control = control,
        bounds = ConfigBounds(settings.cutOffGraceMs, settings.logRetentionMs),
        host = settings.host,
        peerPort = settings.peerPort,
    )

    override fun close() {
        server.stop()
        config?.close()
        list.close()
        control.close()
        log.info("node: instance {} stopped", settings.instanceId)
    }

    private companion object {
        val log = LoggerFactory.getLogger(EntryNode::class.java)
        const val IDLE_CONNECTIONS = 64
        const val IDLE_MINUTES = 1L
        const val MAX_CALLS = 4_096

        // OkHttp would repeat some failed calls by itself, which could run a non-idempotent call twice.
        fun upstreamClient(settings: NodeSettings): OkHttpClient = OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
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
