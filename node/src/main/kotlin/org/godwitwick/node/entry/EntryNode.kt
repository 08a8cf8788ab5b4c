package org.godwitwick.node.entry

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.CallerRoutes
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.platform.HttpInstanceList
import org.godwitwick.node.platform.ListPoller
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.node.upstream.HoldOwner
import org.godwitwick.node.upstream.UpstreamPath
import org.godwitwick.node.upstream.rotatingSelector
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.http4k.server.Http4kServer
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** One entry instance: the library that the `serve` command runs. */
class EntryNode(private val settings: NodeSettings, keyFile: KeyFile) : AutoCloseable {
    private val control = ControlThread()
    private val client = upstreamClient(settings)
    private val list = ListPoller(HttpInstanceList(client, settings.instanceListUrl), settings.listPollMs)
    private val owner = HoldOwner(InstanceId(settings.instanceId), System.currentTimeMillis().toString())
    private val upstream = UpstreamPath(client, list::instances, owner) { rotatingSelector(list::instances, it) }
    private val callers = CallerRoutes(
        keys = KeyRing(keyFile.keys),
        generate = upstream.generate,
        bounds = { ClassBounds() },
        defaultTimeoutMs = settings.defaultTimeoutMs,
        nowMs = System::currentTimeMillis,
    )
    private val server: Http4kServer = StreamingUndertow(
        settings.host,
        settings.httpPort,
        settings.workerThreads,
        writeTimeoutMs = settings.stallTimeoutMs,
    )
        .toServer(routes(callers.routes(), operationRoutes()))

    /** Port on which callers are served. */
    val httpPort: Int get() = server.port()

    /** Starts all parts and serves callers. */
    fun start() {
        list.start()
        upstream.start()
        server.start()
        log.info("node: instance {} serves callers on port {}", settings.instanceId, httpPort)
    }

    private fun operationRoutes() = routes(
        "/livez" bind Method.GET to { Response(Status.OK) },
        "/readyz" bind Method.GET to { Response(Status.OK) },
    )

    override fun close() {
        server.stop()
        upstream.close()
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
