package org.godwitwick.node.forward

import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class RelayHeadersTest {
    private val headers = RelayHeaders { "secret".toByteArray() }

    private fun RelayHeaders.read(value: String, requestId: String = "id-1") =
        hopOf(Request(Method.GET, "/").header("Godwitwick-Relay", value), requestId)

    @Test
    fun `a hop is read as it was written`() = listOf(RelayHop(2, true), RelayHop(1, false)).forEach { hop ->
        expectThat(headers.read(headers.encode(hop, "id-1").second)).isEqualTo(hop)
    }

    // Guards against a proof that a caller makes up, or that is used for another request or more runs.
    @Test
    fun `a request counts as counted only with the proof for it`() {
        val written = headers.encode(RelayHop(2, true), "id-1").second
        expectThat(headers.read("2;counted")).isEqualTo(RelayHop(2, false))
        expectThat(headers.read("2;proof=;counted")).isEqualTo(RelayHop(2, false))
        expectThat(headers.read(written, requestId = "id-2")).isEqualTo(RelayHop(2, false))
        expectThat(headers.read(written.replaceFirst("2", "3"))).isEqualTo(RelayHop(3, false))
        expectThat(RelayHeaders { "other".toByteArray() }.read(written)).isEqualTo(RelayHop(2, false))
        expectThat(RelayHeaders { null }.read(written)?.isCounted ?: true).isFalse()
    }

    // Guards against requests that are relayed in circles, or counted twice, between instances of two versions.
    @Test
    fun `the version without a proof reads the hop, and its hop is read`() {
        listOf(RelayHop(2, true), RelayHop(1, false)).forEach { hop ->
            expectThat(readWithoutProof(headers.encode(hop, "id-1").second)).isEqualTo(hop)
            expectThat(readWithoutProof(RelayHeaders { null }.encode(hop, "id-1").second)).isEqualTo(hop)
        }
        expectThat(headers.read("2;counted")?.maxRuns).isEqualTo(2)
        expectThat(headers.read("1")).isEqualTo(RelayHop(1, false))
    }

    /** Reads a hop as commit 6093c7f does. */
    private fun readWithoutProof(value: String) =
        RelayHop(value.substringBefore(';').toIntOrNull() ?: 1, value.endsWith("counted"))
}
