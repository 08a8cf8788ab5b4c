package org.godwitwick.node.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.godwitwick.node.metrics.NodeMetrics
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Body of `/livez` and `/readyz`. */
@Serializable
data class HealthAnswer(val ok: Boolean, val reasons: List<UnreadyReason>)

/** The routes for the platform: liveness, readiness and metrics. They require no key and reveal no secrets of callers. */
class OperationRoutes(private val gate: ReadinessGate, private val metrics: NodeMetrics) {
    /** Returns the routes. */
    fun routes(): RoutingHttpHandler = routes(
        // A process that answers is alive. The reasons for not being ready end without a restart, so they do not count here.
        "/livez" bind Method.GET to { health(emptyList()) },
        "/readyz" bind Method.GET to { health(gate.reasons) },
        "/metrics" bind Method.GET to
            { Response(Status.OK).header("Content-Type", NodeMetrics.CONTENT_TYPE).body(metrics.render()) },
    )

    private fun health(reasons: List<UnreadyReason>): Response {
        val status = if (reasons.isEmpty()) Status.OK else Status.SERVICE_UNAVAILABLE
        return Response(status)
            .header("Content-Type", "application/json")
            .body(Json.encodeToString(HealthAnswer(reasons.isEmpty(), reasons)))
    }
}
