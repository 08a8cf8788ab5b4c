package org.godwitwick.node.entry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import okhttp3.OkHttpClient
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.node.claim.AtMostOnceCaller
import org.godwitwick.node.claim.ClaimMetrics
import org.godwitwick.node.claim.ClaimService
import org.godwitwick.node.claim.ClaimSettings
import org.godwitwick.node.http.ServiceRouteTable
import org.godwitwick.node.http.ServiceRoutes
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.node.peer.PeerNetwork
import org.godwitwick.node.platform.HttpPlatformLog
import org.godwitwick.node.platform.PlatformLog
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.node.upstream.ServiceClient
import org.godwitwick.node.upstream.ServiceReplicas
import org.http4k.routing.RoutingHttpHandler

/** The components of an entry instance that serve calls to plain services. */
class ServiceComponents(
    settings: NodeSettings,
    keys: KeyRing,
    client: OkHttpClient,
    peers: PeerNetwork,
    config: () -> ConfigView,
    listed: () -> List<ListedInstance>,
    nowMs: () -> Long,
    bodyMemory: BodyMemory,
    log: PlatformLog = HttpPlatformLog(client, settings.logUrl),
    claimSettings: ClaimSettings = ClaimSettings(),
    registry: PrometheusRegistry = PrometheusRegistry(),
) : AutoCloseable {
    private val self = InstanceId(settings.instanceId)
    private val table = ServiceRouteTable(config)
    private val replicas = ServiceReplicas(listed)
    private val metrics = ClaimMetrics(registry)
    private val claims = ClaimService(
        self = self,
        region = settings.region,
        log = log,
        peers = peers,
        homeRegion = replicas::homeRegionOf,
        services = { table.withNonIdempotentRoutes(replicas.names()) },
        limits = { ClaimLimits(config().integer(ConfigField.CLAIM_WINDOW_MS)) },
        settings = claimSettings,
        metrics = metrics,
        nowMs = nowMs,
    )
    private val serviceClient = ServiceClient(client)
    private val once = AtMostOnceCaller(self, claims, serviceClient, claimSettings, metrics, nowMs)
    private val serviceRoutes = ServiceRoutes(keys, config, table, replicas, serviceClient, once, nowMs, bodyMemory = bodyMemory)

    init {
        metrics.publishCrossedAnswers(serviceClient::crossedAnswers)
    }

    /** The routes of calls to plain services. */
    fun routes(): RoutingHttpHandler = serviceRoutes.routes()

    /** Starts the maintenance of claim streams. */
    fun start() = claims.start()

    override fun close() = claims.close()
}
