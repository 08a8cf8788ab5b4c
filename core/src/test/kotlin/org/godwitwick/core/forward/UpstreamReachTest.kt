package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class UpstreamReachTest {
    private val reach = UpstreamReach()

    @Test
    fun `three different upstreams that accept no connection are a suspicion, and a cut if others do not either`() {
        (1..3).forEach { reach.onConnectFailed("10.0.0.$it:80", nowMs = it * 150L) }
        expectThat(reach.isSuspected).isTrue()
        expectThat(reach.isCutOff).isFalse()
        reach.onSuspicionConfirmed()
        expectThat(reach.isCutOff).isTrue()
        reach.onConnected()
        expectThat(reach.isCutOff).isFalse()
    }

    // Guards against crashed upstreams that are taken for a cut of this instance.
    @Test
    fun `one upstream that fails often is no cut, nor are several while others accept connections`() {
        repeat(20) { reach.onConnectFailed("10.0.0.1:80", nowMs = it * 10L) }
        expectThat(reach.isSuspected).isFalse()
        (1..9).forEach {
            reach.onConnectFailed("10.0.0.$it:80", nowMs = 300)
            if (it % 2 == 0) reach.onConnected()
        }
        expectThat(reach.isSuspected).isFalse()
    }

    @Test
    fun `failures that are far apart are no cut`() {
        (1..9).forEach { reach.onConnectFailed("10.0.0.$it:80", nowMs = it * 2_000L) }
        expectThat(reach.isSuspected).isFalse()
    }

    @Test
    fun `a suspicion that has ended meanwhile is not confirmed`() {
        (1..3).forEach { reach.onConnectFailed("10.0.0.$it:80", nowMs = it * 150L) }
        reach.onConnected()
        reach.onSuspicionConfirmed()
        expectThat(reach.isCutOff).isFalse()
    }

    @Test
    fun `those that have not failed are tried first`() {
        reach.onConnectFailed("10.0.0.1:80", nowMs = 0)
        expectThat(reach.doubtful(listOf("10.0.0.1:80", "10.0.0.2:80"))).isEqualTo(listOf("10.0.0.2:80"))
        expectThat(reach.doubtful(listOf("10.0.0.1:80"))).isEqualTo(listOf("10.0.0.1:80"))
    }
}
