package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against ranks that the operator did not state, and against a route's priority that precedes the organisation's. */
class ServiceRanksTest {
    private val table = tableOf(routePriorities = listOf(0, 1, 2), organisationPriorities = listOf(1, 0))

    @Test
    fun `the organisation's priority precedes that of the route`() {
        val ranks = table.ranksOf(SERVICE)!!
        val routes = table.config.routes
        expectThat(routes.map { ranks.levelOf(table.rankOf(it, OrganisationId("org-0"))) }).isEqualTo(listOf(3, 4, 5))
        expectThat(routes.map { ranks.levelOf(table.rankOf(it, OrganisationId("org-1"))) }).isEqualTo(listOf(0, 1, 2))
    }

    @Test
    fun `routes alone state ranks if the organisations state none or the same`() {
        listOf(listOf(1, 1), listOf(null, null)).forEach { organisations ->
            val table = tableOf(listOf(0, 1, 2), organisations)
            val ranks = table.ranksOf(SERVICE)!!
            val levels = table.config.routes.map { ranks.levelOf(table.rankOf(it, OrganisationId("org-0"))) }
            expectThat(levels).isEqualTo(listOf(0, 1, 2))
        }
    }

    @Test
    fun `a service without stated differences has no ranks`() {
        expectThat(tableOf(listOf(1, 1, 1), listOf(1, 1)).ranksOf(SERVICE)).isNull()
        expectThat(tableOf(listOf(1, null, 1), listOf(null, null)).ranksOf(SERVICE)).isNull()
    }

    private fun tableOf(routePriorities: List<Int?>, organisationPriorities: List<Int?>) = RoutingTable(
        RoutingConfig(
            version = 1,
            routes = routePriorities.mapIndexed { i, priority -> routeOf("r$i", priority) },
            services = listOf(ForwardService(SERVICE, null)),
            organisations = organisationPriorities.mapIndexed { i, priority ->
                OrganisationKeys(OrganisationId("org-$i"), listOf("key-$i"), priority)
            },
            limits = null,
        ),
    )

    private fun routeOf(name: String, priority: Int?) = ForwardRoute(
        name,
        "host",
        "/$name/",
        RouteKind.Streaming(isResumable = true),
        timeoutMs = 10_000,
        targetMs = 300,
        gapTargetMs = 250,
        split = listOf(WeightedService(SERVICE, 1.0)),
        maxRuns = 2,
        isPublic = false,
        priority = priority,
    )

    private companion object {
        const val SERVICE = "model"
    }
}
