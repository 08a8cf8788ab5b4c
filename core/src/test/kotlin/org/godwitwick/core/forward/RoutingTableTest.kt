package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class RoutingTableTest {
    private val short = route(prefix = "/a/")
    private val long = route(prefix = "/a/b/")
    private val table = RoutingTable(config(1, short, long))

    @Test
    fun `the longest prefix selects the route`() {
        expectThat(table.routeOf("menu.example", "/a/b/c")).isEqualTo(long)
        expectThat(table.routeOf("menu.example", "/a/bc")).isEqualTo(short)
    }

    @Test
    fun `the host is matched without regard to case and port`() {
        expectThat(table.routeOf("Menu.Example:8080", "/a/x")).isEqualTo(short)
    }

    @Test
    fun `an unknown host and a path without a matching prefix have no route`() {
        expectThat(table.routeOf("other.example", "/a/x")).isNull()
        expectThat(table.routeOf("menu.example", "/a")).isNull()
        expectThat(table.routeOf("menu.example", "*")).isNull()
    }

    @Test
    fun `a key maps to its organisation and an unknown key to none`() {
        expectThat(table.organisationOf("key-1")).isEqualTo(OrganisationId("caterer"))
        expectThat(table.organisationOf("key-2")).isNull()
    }

    @Test
    fun `requests are split by weight`() {
        val split = route(split = listOf(WeightedService("old", 90.0), WeightedService("new", 10.0)))
        expectThat(split.serviceFor(0.0)).isEqualTo("old")
        expectThat(split.serviceFor(0.89)).isEqualTo("old")
        expectThat(split.serviceFor(0.91)).isEqualTo("new")
    }
}
