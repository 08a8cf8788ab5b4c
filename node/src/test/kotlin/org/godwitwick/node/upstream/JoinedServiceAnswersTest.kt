package org.godwitwick.node.upstream

import com.github.michaelbull.result.get
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.standins.wire.BodyEnd
import org.godwitwick.standins.wire.JoinedAnswer
import org.godwitwick.standins.wire.JoinedCell
import org.godwitwick.standins.wire.JoinedServer
import org.godwitwick.standins.wire.WireAnswer
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/**
 * Services that stop within a success and write a failure on the same connection. Guards against an outcome of a call that is not one
 * answer of its service.
 */
@Timeout(60)
class JoinedServiceAnswersTest {
    private val memory = BodyMemory(limitBytes = 64L shl 20) { 0 }
    private val client = ServiceClient(noRetryClientBuilder().build())

    private fun answer(status: Int, play: String, namesRequest: Boolean, end: BodyEnd, order: List<Int>): WireAnswer {
        val fields = listOf(
            "X-Answer: $status",
            "Content-Type: application/json",
            "Date: Sat, 05 Dec 2026 08:00:00 GMT",
            "Server: engine",
            if (namesRequest) "X-Request-Id: $play" else "X-Other: $play",
        )
        return WireAnswer(status, fields, bodyOf(status), end, order)
    }

    private fun bodyOf(status: Int) = if (status == OK) "booked ".padEnd(BODY_BYTES, 'x') else "failed"

    private fun faultOf(answer: ServiceAnswer): String? {
        val names = answer.headers.filter { it.first.equals("X-Answer", ignoreCase = true) }.map { it.second }
        return when {
            names != listOf(answer.status.toString()) -> "status ${answer.status} with another head"
            answer.body?.decodeToString() != bodyOf(answer.status) -> "status ${answer.status} with another body"
            else -> null
        }
    }

    private fun expectNoFault(namesRequest: Boolean, isOnce: Boolean, seed: Int) {
        val cells = JoinedCell.all(Random(seed), FIELDS) { end ->
            answer(OK, "play-0000-0", namesRequest, end, List(FIELDS) { it }).headBytes
        }
        val server = JoinedServer(cells) { cell, play ->
            val first = answer(OK, play, namesRequest, cell.firstEnd, cell.fieldOrder)
            val second = answer(FAILED, play, namesRequest, cell.secondEnd, cell.fieldOrder)
            JoinedAnswer(first, second, cell.cut, cell.packets, cell.lateMs)
        }
        server.use {
            val faults = server.faults { _, play ->
                val share = memory.open()
                val call = ServiceCall(RequestId(play), "POST", "/book/$play", "", emptyList(), ByteArray(0), share)
                val sent = if (isOnce) {
                    client.sendOnce(server.address, call, WriteGate(), TIMEOUT_MS)
                } else {
                    client.send(server.address, call, TIMEOUT_MS)
                }
                sent.get()?.let(::faultOf)
            }
            expectThat(faults).describedAs("faults of ${cells.size} plays").isEqualTo(emptyList())
        }
    }

    @Test
    fun `a call on a connection of its own gets no outcome that is joined from two answers`() =
        expectNoFault(namesRequest = true, isOnce = true, SEED)

    @Test
    fun `a call on a kept connection gets no outcome that is joined from two answers`() =
        expectNoFault(namesRequest = true, isOnce = false, SEED + 1)

    @Test
    fun `a call gets no outcome that is joined from two answers that name no request`() =
        expectNoFault(namesRequest = false, isOnce = true, SEED + 2)

    private companion object {
        const val FIELDS = 6
        const val OK = 200
        const val FAILED = 500
        const val BODY_BYTES = 480
        const val TIMEOUT_MS = 500L
        const val SEED = 46_000_011
    }
}
