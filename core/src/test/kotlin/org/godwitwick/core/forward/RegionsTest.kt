package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RegionsTest {
    private val regions = Regions(own = "north", byDataCentre = mapOf("a" to "north", "b" to "south"))

    // Guards against a request that is handled where it may not be because the region of a data centre is not configured.
    @Test
    fun `a data centre of unknown region is outside, also if this instance has none`() {
        expectThat(regions.allowsUpstream(setOf("south"), "b")).isTrue()
        expectThat(regions.allowsUpstream(setOf("south"), "c")).isFalse()
        expectThat(regions.allowsUpstream(null, "c")).isTrue()
        expectThat(Regions().allowsInstance(setOf("south"), "c")).isFalse()
    }

    @Test
    fun `a body may go to instances of the caller's region, but not be handled there`() {
        expectThat(regions.allowsInstance(setOf("south"), "a")).isTrue()
        expectThat(regions.allowsUpstream(setOf("south"), "a")).isFalse()
        expectThat(regions.allowsInstance(setOf("north"), "b")).isFalse()
    }

    // Guards against an organisation whose restriction is lost on a route that has one of its own.
    @Test
    fun `the regions of the route and of the organisation both apply`() {
        val free = route(prefix = "/free/")
        val bound = route(prefix = "/bound/").copy(allowedRegions = setOf("north", "south"))
        val organisation = OrganisationId("caterer")
        val base = config(1, free, bound)
        val table = RoutingTable(
            base.copy(organisations = base.organisations?.map { it.copy(allowedRegions = setOf("south", "west")) }),
        )
        expectThat(table.allowedRegionsOf(free, organisation)).isEqualTo(setOf("south", "west"))
        expectThat(table.allowedRegionsOf(bound, organisation)).isEqualTo(setOf("south"))
        expectThat(table.allowedRegionsOf(bound, null)).isEqualTo(setOf("north", "south"))
        expectThat(RoutingTable(base).allowedRegionsOf(free, organisation)).isNull()
    }
}
