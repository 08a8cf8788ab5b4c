package org.godwitwick.node.claim

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.node.claim.ClaimFleet.Companion.SHORT_TIMEOUTS
import org.godwitwick.node.claim.ClaimFleet.Companion.async
import org.godwitwick.node.claim.ClaimFleet.Companion.await
import org.godwitwick.node.claim.ClaimFleet.Companion.kind
import org.godwitwick.node.claim.ClaimFleet.Companion.ran
import org.godwitwick.node.claim.ClaimFleet.Companion.withFleet
import org.godwitwick.node.peer.ClaimRuling
import org.godwitwick.standins.log.LogFaults
import org.godwitwick.standins.service.ServiceFaults
import org.http4k.core.Response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch

class AtMostOnceTest {
    private fun expectRefused(answer: Response, kind: ErrorKind, ran: Executed) {
        expectThat(answer.kind).isEqualTo(kind)
        expectThat(answer.ran).isEqualTo(ran)
    }

    /** Guards against two instances that both dispatch a call that its caller sent to both. */
    @Test
    fun `concurrent calls with the same key at two instances are executed once`() = withFleet { fleet ->
        repeat(20) {
            val key = fleet.newKey()
            val answers = fleet.callConcurrently(fleet.instances, key)
            expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            expectThat(answers.all { it.status.code == 200 || it.kind == ErrorKind.OUTCOME_PENDING }).isTrue()
            expectThat(answers.any { it.status.code == 200 }).isTrue()
        }
    }

    /** Guards against a second instance that takes over the claim of a slow claimant. */
    @Test
    fun `a retry is pending while the first call is paused between claim and dispatch`() = withFleet { fleet ->
        val (owner, other) = fleet.ownerAndOther(fleet.newKey())
        for ((first, second) in listOf(owner to other, other to owner)) {
            val key = fleet.newKey()
            val pause = Pause(first)
            val answer = async { first.call(key) }
            pause.started.await()
            expectRefused(second.call(key), ErrorKind.OUTCOME_PENDING, Executed.UNKNOWN)
            pause.ended.countDown()
            expectThat(answer.get().status.code).isEqualTo(200)
            expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
        }
    }

    /** Guards against a claimant that resumes after the dispatch window has passed and still dispatches. */
    @Test
    fun `a claimant that was paused beyond the dispatch window does not dispatch and frees the key`() = withFleet { fleet ->
        val (first, second) = fleet.instances
        val key = fleet.newKey()
        val pause = Pause(first)
        val answer = async { first.call(key) }
        pause.started.await()
        fleet.clock.addAndGet(ClaimSettings().dispatchWindowMs + 1)
        pause.ended.countDown()
        expectRefused(answer.get(), ErrorKind.UPSTREAM_FAILED, Executed.NO)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
        expectThat(fleet.callUntilSettled(second, key).status.code).isEqualTo(200)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a retry that executes a call again that a dead instance may have dispatched. */
    @Test
    fun `a retry after the claimant died gets an unknown outcome, whether or not the service checks fencing numbers`() {
        for (checksFencing in listOf(true, false)) {
            ClaimFleet(3, checksFencing = checksFencing).use { fleet ->
                val key = fleet.newKey()
                val first = fleet.ownerAndOther(key).second
                val pause = Pause(first)
                async { first.call(key) }
                pause.started.await()
                fleet.hub.dead += first.id
                fleet.instances.filter {
                    it != first
                }.forEach { expectRefused(it.call(key), ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN) }
                expectThat(fleet.service.arrivals.size).isEqualTo(0)
                pause.ended.countDown()
            }
        }
    }

    /** Guards against replaying an outcome to a different call or to another organisation. */
    @Test
    fun `a key is refused for a different call, and another organisation may use the same key`() = withFleet { fleet ->
        val (first, second) = fleet.instances
        val key = fleet.newKey()
        expectThat(first.call(key).bodyString()).isEqualTo("{\"executions\":1}")
        expectRefused(second.call(key, body = "table for 5"), ErrorKind.KEY_REUSED, Executed.NO)
        expectRefused(second.call(key, path = "bookings/other"), ErrorKind.KEY_REUSED, Executed.NO)
        expectThat(second.call(key, caller = "bakery").bodyString()).isEqualTo("{\"executions\":2}")
        expectThat(fleet.callUntilSettled(second, key).bodyString()).isEqualTo("{\"executions\":1}")
    }

    /** Guards against calls whose retries cannot be recognised. */
    @Test
    fun `a call without a key or with a malformed, expired or future key is refused without an append`() = withFleet { fleet ->
        val instance = fleet.instances.first()
        expectRefused(instance.call(null), ErrorKind.KEY_REQUIRED, Executed.NO)
        expectRefused(instance.call("booking-1"), ErrorKind.BAD_REQUEST, Executed.NO)
        expectRefused(instance.call(fleet.newKey(ageMs = ClaimFleet.WINDOW_MS + 1)), ErrorKind.KEY_EXPIRED, Executed.NO)
        expectRefused(instance.call(fleet.newKey(ageMs = -61_000)), ErrorKind.BAD_REQUEST, Executed.NO)
        expectThat(fleet.log.appends).isEqualTo(0)
    }

    /** Guards against an instance with a slow clock that dispatches a call whose first claim the log may have dropped. */
    @Test
    fun `a key that is expired by the log's clock is refused even if it is valid by the instance's clock`() = withFleet { fleet ->
        fleet.logAheadMs.set(ClaimFleet.WINDOW_MS + 1)
        expectRefused(fleet.instances.first().call(fleet.newKey()), ErrorKind.KEY_EXPIRED, Executed.NO)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
    }

    /** Guards against a call that is refused or executed twice because the answer to its append is lost or its append is late. */
    @Test
    fun `a lost append answer is resolved and a delayed append has no effect`() {
        for (fault in listOf(LogFaults(loseAnswers = 3), LogFaults(delayAppends = 1))) {
            withFleet { fleet ->
                val key = fleet.newKey()
                fleet.log.setFaults(fault)
                expectThat(fleet.instances.first().call(key).status.code).isEqualTo(200)
                fleet.log.releaseDelayed()
                expectThat(fleet.callUntilSettled(fleet.instances.last(), key).header("Idempotency-Replayed")).isEqualTo("true")
                expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            }
        }
    }

    /** Guards against a delayed claim that blocks the key or executes the call after the caller was told that it was not run. */
    @Test
    fun `a claim that is appended after its claimant timed out is voided by the preceding not-run entry`() =
        withFleet(1, settings = SHORT_TIMEOUTS) { fleet ->
            val instance = fleet.instances.single()
            val key = fleet.newKey()
            fleet.log.setFaults(LogFaults(delayAppends = Int.MAX_VALUE))
            expectRefused(instance.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
            fleet.log.setFaults(LogFaults())
            await { fleet.log.appends > 0 && instance.claims.queuedEntries == 0 }
            fleet.log.releaseDelayed()
            expectThat(fleet.service.arrivals.size).isEqualTo(0)
            expectThat(instance.call(key).status.code).isEqualTo(200)
            expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
        }

    /** Guards against a dispatch without a claim, and against a key that remains blocked after the log has recovered. */
    @Test
    fun `nothing is dispatched while the log is down or rate limited, and the key is free after its recovery`() {
        for (fault in listOf(LogFaults(outage = true), LogFaults(appendsPerSecond = 0))) {
            withFleet(settings = SHORT_TIMEOUTS) { fleet ->
                val key = fleet.newKey()
                fleet.log.setFaults(fault)
                fleet.instances.forEach { expectRefused(it.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO) }
                expectThat(fleet.service.arrivals.size).isEqualTo(0)
                expectThat(fleet.log.appends).isEqualTo(0)
                fleet.log.setFaults(LogFaults())
                await { fleet.instances.all { it.claims.queuedEntries == 0 } }
                expectThat(fleet.callUntilSettled(fleet.instances.first(), key).status.code).isEqualTo(200)
                expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            }
        }
    }

    /** Guards against a not-run entry that is lost because the log was down when the call failed. */
    @Test
    fun `a not-run entry is queued while the log is down and appended after its recovery`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        val key = fleet.newKey()
        fleet.service.refuseConnections()
        instance.afterClaim = { fleet.log.setFaults(LogFaults(outage = true)) }
        expectRefused(instance.call(key), ErrorKind.UPSTREAM_FAILED, Executed.NO)
        instance.afterClaim = {}
        await { instance.claims.queuedEntries == 1 }
        fleet.log.setFaults(LogFaults())
        fleet.service.acceptConnections()
        expectThat(fleet.callUntilSettled(instance, key).status.code).isEqualTo(200)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a service that cannot distinguish an old dispatch from a new one. */
    @Test
    fun `the service receives the key, and a higher fencing number when a freed key is claimed again`() =
        withFleet(1, checksFencing = true) { fleet ->
            val instance = fleet.instances.single()
            val key = fleet.newKey()
            fleet.service.refuseConnections()
            expectRefused(instance.call(key), ErrorKind.UPSTREAM_FAILED, Executed.NO)
            fleet.service.acceptConnections()
            expectThat(fleet.callUntilSettled(instance, key).status.code).isEqualTo(200)
            val arrival = fleet.service.arrivals.single()
            expectThat(arrival["idempotency-key"]).isEqualTo(key)
            expectThat(arrival["fencing-number"]?.toLong()).isNotNull().isGreaterThan(0)
            expectThat(arrival["authorization"]).isNull()
        }

    /** Guards against a second dispatch of a call whose answer was lost, broken or crossed, or that is still running. */
    @Test
    fun `a call without a usable answer has an unknown outcome and is not dispatched again`() {
        val faults = listOf(
            ServiceFaults(loseAnswers = 1),
            ServiceFaults(breakAnswers = 1),
            ServiceFaults(crossAnswers = 1),
            ServiceFaults(crashBefore = 1),
            ServiceFaults(hang = 1),
        )
        for (fault in faults) {
            for (checksFencing in listOf(true, false)) {
                ClaimFleet(checksFencing = checksFencing).use { fleet ->
                    val key = fleet.newKey()
                    fleet.service.setFaults(fault)
                    val timeoutMs = if (fault.hang > 0) 2_000L else 20_000L
                    expectRefused(
                        fleet.instances.first().call(key, timeoutMs = timeoutMs),
                        ErrorKind.OUTCOME_UNKNOWN,
                        Executed.UNKNOWN,
                    )
                    expectRefused(
                        fleet.callUntilSettled(fleet.instances.last(), key),
                        ErrorKind.OUTCOME_UNKNOWN,
                        Executed.UNKNOWN,
                    )
                    expectThat(fleet.service.arrivals.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against the HTTP client's automatic retry of a call that is answered with status 503 and `Retry-After: 0`. */
    @Test
    fun `a 503 answer with Retry-After is passed on and the call is not retried`() = withFleet(1) { fleet ->
        val key = fleet.newKey()
        fleet.service.setFaults(ServiceFaults(unavailableAfter = 1))
        val answer = fleet.instances.single().call(key)
        expectThat(answer.status.code).isEqualTo(503)
        expectThat(answer.header("Retry-After")).isEqualTo("0")
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a retry that executes a call again after it succeeded. */
    @Test
    fun `a retry after success gets the recorded answer at every instance`() = withFleet(3) { fleet ->
        val key = fleet.newKey()
        val answer = fleet.instances.first().call(key)
        fleet.instances.forEach { instance ->
            val retried = fleet.callUntilSettled(instance, key)
            expectThat(retried.bodyString()).isEqualTo(answer.bodyString())
            expectThat(retried.header("Content-Type")).isEqualTo(answer.header("Content-Type"))
        }
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against replaying a truncated answer when the answer is too large to be recorded. */
    @Test
    fun `a retry of a call with a large answer gets a conflict that reports the call as executed`() = withFleet(1) { fleet ->
        val key = fleet.newKey()
        fleet.service.setFaults(ServiceFaults(answerBytes = 17 * 1024))
        expectThat(fleet.instances.single().call(key).bodyString().length).isEqualTo(17 * 1024)
        expectRefused(fleet.callUntilSettled(fleet.instances.single(), key), ErrorKind.CONFLICT, Executed.YES)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a new owner that executes a call again because the log dropped the claim before its retention time. */
    @Test
    fun `a retry is refused if the log has dropped records of the time of its key`() = withFleet { fleet ->
        val key = fleet.newKey()
        val (owner, other) = fleet.ownerAndOther(key)
        expectThat(owner.call(key).status.code).isEqualTo(200)
        await { fleet.log.appends == 2L }
        fleet.log.retainNewest(0)
        fleet.hub.dead += owner.id
        expectRefused(other.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against calls that are refused permanently after the log dropped records. */
    @Test
    fun `calls with keys created after a gap in the log are accepted`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        instance.call(fleet.newKey())
        await { fleet.log.appends == 2L }
        await { instance.claims.queuedEntries == 0 }
        fleet.log.retainNewest(0)
        instance.call(fleet.newKey())
        fleet.clock.addAndGet(61_000)
        expectThat(instance.call(fleet.newKey()).status.code).isEqualTo(200)
    }

    /** Guards against calls that are refused after an idle period because the log has dropped all records past retention. */
    @Test
    fun `markers keep the stream of an idle shard readable`() = withFleet { fleet ->
        val (owner, other) = fleet.ownerAndOther(fleet.newKey())
        fleet.log.setFaults(LogFaults(retentionMs = 2 * ClaimFleet.WINDOW_MS))
        owner.call(fleet.newKey())
        await { fleet.log.appends == 2L }
        repeat(16) { step ->
            fleet.clock.addAndGet(ClaimFleet.WINDOW_MS / 4 + 1)
            owner.claims.maintain()
            await { fleet.log.appends == 3L + step }
        }
        fleet.hub.dead += owner.id
        expectThat(other.call(fleet.newKey()).status.code).isEqualTo(200)
    }

    /** Guards against a shard that exceeds its share of the log's append rate. */
    @Test
    fun `appends beyond the burst are delayed by the rate limit`() =
        withFleet(1, settings = SHORT_TIMEOUTS.copy(appendBurst = 1, appendsPerSecond = 100.0)) { fleet ->
            val instance = fleet.instances.single()
            expectThat(instance.call(fleet.newKey()).status.code).isEqualTo(200)
            expectRefused(instance.call(fleet.newKey()), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
            expectThat(fleet.log.appends).isEqualTo(1)
            fleet.clock.addAndGet(10)
            await { fleet.log.appends == 2L }
        }

    /** Guards against a call that fails or is executed twice because the shard's owner is unreachable or its answer is lost. */
    @Test
    fun `a call is executed once if the owner is unreachable or its answer is lost`() = withFleet { fleet ->
        for (fault in listOf(fleet.hub.unreachable, fleet.hub.answersLost)) {
            val key = fleet.newKey()
            val (owner, other) = fleet.ownerAndOther(key)
            fault += owner.id
            val answers = fleet.callConcurrently(listOf(owner, other), key)
            expectThat(answers.count { it.status.code == 200 }).isGreaterThan(0)
            val alone = fleet.newKey()
            expectThat(other.call(alone).status.code).isEqualTo(200)
            expectThat(listOf(key, alone).map(fleet.service::executionsOf)).isEqualTo(listOf(1, 1))
            fault -= owner.id
        }
    }

    /** Guards against losing an entry that is only in the owner's memory when the owner dies before it appends. */
    @Test
    fun `an outcome that the owner did not confirm is appended by the claimant`() = withFleet { fleet ->
        val key = fleet.newKey()
        val (owner, other) = fleet.ownerAndOther(key)
        other.afterClaim = { ruling ->
            expectThat(ruling).isA<ClaimRuling.Granted>()
            fleet.hub.dead += owner.id
        }
        expectThat(other.call(key).status.code).isEqualTo(200)
        other.afterClaim = {}
        expectThat(fleet.callUntilSettled(other, key).header("Idempotency-Replayed")).isEqualTo("true")
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Pauses [instance] between its next grant and the dispatch. */
    private class Pause(instance: ClaimFleet.Instance) {
        val started = CountDownLatch(1)
        val ended = CountDownLatch(1)

        init {
            instance.afterClaim = {
                instance.afterClaim = {}
                started.countDown()
                ended.await()
            }
        }
    }
}
