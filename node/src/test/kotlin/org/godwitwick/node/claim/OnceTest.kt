package org.godwitwick.node.claim

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.node.claim.ClaimFleet.Companion.IMPATIENT
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

class OnceTest {
    private fun expectRefused(answer: Response, kind: ErrorKind, ran: Executed) {
        expectThat(answer.kind).isEqualTo(kind)
        expectThat(answer.ran).isEqualTo(ran)
    }

    /** Guards against two instances that both dispatch a call that a caller sent to both. */
    @Test
    fun `the same key at two instances at the same moment runs once`() = withFleet { fleet ->
        repeat(20) {
            val key = fleet.newKey()
            val answers = fleet.callTogether(fleet.instances, key)
            expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            expectThat(answers.all { it.status.code == 200 || it.kind == ErrorKind.OUTCOME_PENDING }).isTrue()
            expectThat(answers.any { it.status.code == 200 }).isTrue()
        }
    }

    /** Guards against a claim that is taken over from a claimant that is only slow. */
    @Test
    fun `a repeat while the first is paused between claim and dispatch is pending`() = withFleet { fleet ->
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

    /** Guards against a claimant that resumes long after its grant and dispatches then. */
    @Test
    fun `a claimant that was paused past its grant does not dispatch and frees the key`() = withFleet { fleet ->
        val (first, second) = fleet.instances
        val key = fleet.newKey()
        val pause = Pause(first)
        val answer = async { first.call(key) }
        pause.started.await()
        fleet.clock.addAndGet(ClaimSettings().dispatchWindowMs + 1)
        pause.ended.countDown()
        expectRefused(answer.get(), ErrorKind.UPSTREAM_FAILED, Executed.NO)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
        expectThat(fleet.settled(second, key).status.code).isEqualTo(200)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a repeat that runs a call which a dead instance may have dispatched. */
    @Test
    fun `after the claimant died a repeat gets an unknown outcome, whether or not the service checks fencing numbers`() {
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

    /** Guards against an outcome that is answered to another call, and against one organisation that reads another's. */
    @Test
    fun `another body is refused and another organisation runs its own call`() = withFleet { fleet ->
        val (first, second) = fleet.instances
        val key = fleet.newKey()
        expectThat(first.call(key).bodyString()).isEqualTo("{\"executions\":1}")
        expectRefused(second.call(key, body = "table for 5"), ErrorKind.KEY_REUSED, Executed.NO)
        expectRefused(second.call(key, path = "bookings/other"), ErrorKind.KEY_REUSED, Executed.NO)
        expectThat(second.call(key, caller = "bakery").bodyString()).isEqualTo("{\"executions\":2}")
        expectThat(fleet.settled(second, key).bodyString()).isEqualTo("{\"executions\":1}")
    }

    /** Guards against calls that can't be recognised when they are repeated. */
    @Test
    fun `a call without key, with a malformed or an old key is refused without an append`() = withFleet { fleet ->
        val instance = fleet.instances.first()
        expectRefused(instance.call(null), ErrorKind.KEY_REQUIRED, Executed.NO)
        expectRefused(instance.call("booking-1"), ErrorKind.BAD_REQUEST, Executed.NO)
        expectRefused(instance.call(fleet.newKey(ageMs = ClaimFleet.WINDOW_MS + 1)), ErrorKind.KEY_EXPIRED, Executed.NO)
        expectRefused(instance.call(fleet.newKey(ageMs = -61_000)), ErrorKind.BAD_REQUEST, Executed.NO)
        expectThat(fleet.log.appends).isEqualTo(0)
    }

    /** Guards against an instance with a slow clock that dispatches a call whose first claim the log may have dropped. */
    @Test
    fun `a key that is too old by the log's clock is refused whatever the instance's clock says`() = withFleet { fleet ->
        fleet.logAheadMs.set(ClaimFleet.WINDOW_MS + 1)
        expectRefused(fleet.instances.first().call(fleet.newKey()), ErrorKind.KEY_EXPIRED, Executed.NO)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
    }

    /** Guards against a call that is refused, or run twice, when the answer of its append is lost or the append takes effect late. */
    @Test
    fun `a lost answer of the append is resolved and a late append changes nothing`() {
        for (fault in listOf(LogFaults(loseAnswers = 3), LogFaults(delayAppends = 1))) {
            withFleet { fleet ->
                val key = fleet.newKey()
                fleet.log.setFaults(fault)
                expectThat(fleet.instances.first().call(key).status.code).isEqualTo(200)
                fleet.log.releaseDelayed()
                expectThat(fleet.settled(fleet.instances.last(), key).header("Idempotency-Replayed")).isEqualTo("true")
                expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            }
        }
    }

    /** Guards against a late claim of a call that was answered with "not run", which would hold the key or run the call. */
    @Test
    fun `an append that takes effect after its claimant gave up is voided by the not-run record before it`() =
        withFleet(1, settings = IMPATIENT) { fleet ->
            val instance = fleet.instances.single()
            val key = fleet.newKey()
            fleet.log.setFaults(LogFaults(delayAppends = Int.MAX_VALUE))
            expectRefused(instance.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
            fleet.log.setFaults(LogFaults())
            await { fleet.log.appends > 0 && instance.claims.waiting == 0 }
            fleet.log.releaseDelayed()
            expectThat(fleet.service.arrivals.size).isEqualTo(0)
            expectThat(instance.call(key).status.code).isEqualTo(200)
            expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
        }

    /** Guards against a dispatch without a claim, and against a key that stays blocked after the log returns. */
    @Test
    fun `while the log is down or refuses by its rate limit nothing is dispatched and the key is free afterwards`() {
        for (fault in listOf(LogFaults(outage = true), LogFaults(appendsPerSecond = 0))) {
            withFleet(settings = IMPATIENT) { fleet ->
                val key = fleet.newKey()
                fleet.log.setFaults(fault)
                fleet.instances.forEach { expectRefused(it.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO) }
                expectThat(fleet.service.arrivals.size).isEqualTo(0)
                expectThat(fleet.log.appends).isEqualTo(0)
                fleet.log.setFaults(LogFaults())
                await { fleet.instances.all { it.claims.waiting == 0 } }
                expectThat(fleet.settled(fleet.instances.first(), key).status.code).isEqualTo(200)
                expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
            }
        }
    }

    /** Guards against a "not run" of which the log never hears because it was down when the claimant gave up. */
    @Test
    fun `a not-run entry is kept while the log is down and appended when it returns`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        val key = fleet.newKey()
        fleet.service.refuseConnections()
        instance.afterClaim = { fleet.log.setFaults(LogFaults(outage = true)) }
        expectRefused(instance.call(key), ErrorKind.UPSTREAM_FAILED, Executed.NO)
        instance.afterClaim = {}
        await { instance.claims.waiting == 1 }
        fleet.log.setFaults(LogFaults())
        fleet.service.acceptConnections()
        expectThat(fleet.settled(instance, key).status.code).isEqualTo(200)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a service that can't tell an old dispatch from a new one. */
    @Test
    fun `the service gets the key and a fencing number that grows when a freed key is claimed again`() =
        withFleet(1, checksFencing = true) { fleet ->
            val instance = fleet.instances.single()
            val key = fleet.newKey()
            fleet.service.refuseConnections()
            expectRefused(instance.call(key), ErrorKind.UPSTREAM_FAILED, Executed.NO)
            fleet.service.acceptConnections()
            expectThat(fleet.settled(instance, key).status.code).isEqualTo(200)
            val arrival = fleet.service.arrivals.single()
            expectThat(arrival["idempotency-key"]).isEqualTo(key)
            expectThat(arrival["fencing-number"]?.toLong()).isNotNull().isGreaterThan(0)
            expectThat(arrival["authorization"]).isNull()
        }

    /** Guards against a repeat of a call that ran and whose answer was lost, broken or crossed, or that is still running. */
    @Test
    fun `a call without a usable answer has an unknown outcome and is never repeated`() {
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
                    expectRefused(fleet.settled(fleet.instances.last(), key), ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN)
                    expectThat(fleet.service.arrivals.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against the HTTP client's own repeat of a call that is answered with status 503 and `Retry-After: 0`. */
    @Test
    fun `an answer that invites a repeat is passed on and the call is not repeated`() = withFleet(1) { fleet ->
        val key = fleet.newKey()
        fleet.service.setFaults(ServiceFaults(unavailableAfter = 1))
        val answer = fleet.instances.single().call(key)
        expectThat(answer.status.code).isEqualTo(503)
        expectThat(answer.header("Retry-After")).isEqualTo("0")
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a repeat that runs a call again after it succeeded. */
    @Test
    fun `a repeat after success gets the same answer at every instance`() = withFleet(3) { fleet ->
        val key = fleet.newKey()
        val answer = fleet.instances.first().call(key)
        fleet.instances.forEach { instance ->
            val repeat = fleet.settled(instance, key)
            expectThat(repeat.bodyString()).isEqualTo(answer.bodyString())
            expectThat(repeat.header("Content-Type")).isEqualTo(answer.header("Content-Type"))
        }
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a replay of half an answer when the answer is too large to be recorded. */
    @Test
    fun `a repeat of a call with a large answer is told that the call ran`() = withFleet(1) { fleet ->
        val key = fleet.newKey()
        fleet.service.setFaults(ServiceFaults(answerBytes = 17 * 1024))
        expectThat(fleet.instances.single().call(key).bodyString().length).isEqualTo(17 * 1024)
        expectRefused(fleet.settled(fleet.instances.single(), key), ErrorKind.CONFLICT, Executed.YES)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against a new owner that runs a call again because the log dropped the claim earlier than promised. */
    @Test
    fun `a repeat is refused when the log dropped the records of its time`() = withFleet { fleet ->
        val key = fleet.newKey()
        val (owner, other) = fleet.ownerAndOther(key)
        expectThat(owner.call(key).status.code).isEqualTo(200)
        await { fleet.log.appends == 2L }
        fleet.log.retainNewest(0)
        fleet.hub.dead += owner.id
        expectRefused(other.call(key), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Guards against calls that stay refused for good after the log dropped records. */
    @Test
    fun `keys that are younger than a gap in the log run again`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        instance.call(fleet.newKey())
        await { fleet.log.appends == 2L }
        await { instance.claims.waiting == 0 }
        fleet.log.retainNewest(0)
        instance.call(fleet.newKey())
        fleet.clock.addAndGet(61_000)
        expectThat(instance.call(fleet.newKey()).status.code).isEqualTo(200)
    }

    /** Guards against calls that are refused after a quiet time, when the log has dropped everything that it may drop. */
    @Test
    fun `a quiet shard is kept readable by markers`() = withFleet { fleet ->
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

    /** Guards against a shard that takes more than its share of the log's appends. */
    @Test
    fun `appends beyond the burst wait for the rate`() =
        withFleet(1, settings = IMPATIENT.copy(appendBurst = 1, appendsPerSecond = 100.0)) { fleet ->
            val instance = fleet.instances.single()
            expectThat(instance.call(fleet.newKey()).status.code).isEqualTo(200)
            expectRefused(instance.call(fleet.newKey()), ErrorKind.LOG_UNAVAILABLE, Executed.NO)
            expectThat(fleet.log.appends).isEqualTo(1)
            fleet.clock.addAndGet(10)
            await { fleet.log.appends == 2L }
        }

    /** Guards against a call that fails, or runs twice, because the owner of its shard can't be reached or its answer is lost. */
    @Test
    fun `a call runs once when the owner can't be reached or its answer is lost`() = withFleet { fleet ->
        for (fault in listOf(fleet.hub.unreachable, fleet.hub.mute)) {
            val key = fleet.newKey()
            val (owner, other) = fleet.ownerAndOther(key)
            fault += owner.id
            val answers = fleet.callTogether(listOf(owner, other), key)
            expectThat(answers.count { it.status.code == 200 }).isGreaterThan(0)
            val alone = fleet.newKey()
            expectThat(other.call(alone).status.code).isEqualTo(200)
            expectThat(listOf(key, alone).map(fleet.service::executionsOf)).isEqualTo(listOf(1, 1))
            fault -= owner.id
        }
    }

    /** Guards against an entry that stays in the owner's memory only, when the owner dies before it appends. */
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
        expectThat(fleet.settled(other, key).header("Idempotency-Replayed")).isEqualTo("true")
        expectThat(fleet.service.executionsOf(key)).isEqualTo(1)
    }

    /** Holds [instance] between its next grant and the dispatch. */
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
