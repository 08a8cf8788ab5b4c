package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/** A route with the settings that both deployments use for short prompts. */
internal fun route(
    kind: RouteKind = RouteKind.Streaming(isResumable = true),
    prefix: String = "/draft/",
    maxRuns: Int = 2,
    isPublic: Boolean = false,
    split: List<WeightedService> = listOf(WeightedService("model", 1.0)),
) = ForwardRoute("draft", "menu.example", prefix, kind, 10_000, 300, 250, split, maxRuns, isPublic)

internal fun config(version: Long, vararg routes: ForwardRoute, key: String = "key-1") = RoutingConfig(
    version = version,
    routes = routes.toList(),
    services = listOf(ForwardService("model", engineProfile)),
    organisations = listOf(OrganisationKeys(OrganisationId("caterer"), listOf(key))),
    limits = null,
)

/** The engine profile that both deployments publish. */
internal val engineProfile =
    EngineProfile(
        slots = 11,
        kvCapacityTokens = 232_000,
        prefillTokensPerMs = 206.0,
        attentionMsPerMillionPairs = 0.138,
        passMs = 44.0,
    )

internal fun upstream(id: String, isLeaving: Boolean = false, startedAtMs: Long? = 1, sequence: Long? = null) =
    UpstreamEntry(InstanceId(id), "model", "10.0.0.1:80", "north-a", 11, isLeaving, startedAtMs, sequence)

internal fun view(id: String, work: UpstreamWork = UpstreamWork(), penaltyMs: Double = 0.0) =
    UpstreamView(upstream(id), work, penaltyMs)
