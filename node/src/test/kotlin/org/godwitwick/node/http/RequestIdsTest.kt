package org.godwitwick.node.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotEqualTo
import strikt.assertions.matches
import strikt.assertions.startsWith

class RequestIdsTest {
    private val sent = "0198c1de-7a11-7cc3-8a1f-0123456789ab"

    /** Guards against two requests that share an id, because the identity check of streams could not distinguish them. */
    @Test
    fun `two requests with the same header receive different ids that start with it`() {
        val first = RequestIds.of(sent).value
        expectThat(first).startsWith("$sent.")
        expectThat(RequestIds.of(sent).value).startsWith("$sent.").isNotEqualTo(first)
    }

    /** Guards against callers that inject text into log lines. */
    @Test
    fun `a header that is not a UUID is replaced`() {
        val generated = Regex("[0-9a-f-]{36}")
        listOf(null, "", "x\nhttp: forged", "$sent ", "$sent.1").forEach {
            expectThat(RequestIds.of(it).value).matches(generated)
        }
    }
}
