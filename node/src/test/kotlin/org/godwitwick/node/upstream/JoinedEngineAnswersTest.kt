package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
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

/** Engines that stop within a success and write another answer on the same connection. */
@Timeout(60)
class JoinedEngineAnswersTest {
    private val client = EngineClient(noRetryClientBuilder().build())

    private fun answer(status: Int, body: String, end: BodyEnd, order: List<Int>): WireAnswer {
        val fields = listOf("Content-Type: application/json", "Date: Sat, 05 Dec 2026 08:00:00 GMT", "Server: engine")
        return WireAnswer(status, fields, body, end, order)
    }

    private fun expectNoFault(
        seed: Int,
        firstBody: (play: String) -> String,
        secondStatus: Int,
        secondBody: (play: String) -> String,
        faultOf: (address: String, play: String) -> String?,
    ) {
        val random = Random(seed)
        val all = JoinedCell.all(random, FIELDS) { answer(OK, firstBody("play-0000-0"), it, List(FIELDS) { it }).headBytes }
        val cells = all.shuffled(random).take(PLAYS)
        val server = JoinedServer(cells) { cell, play ->
            val first = answer(OK, firstBody(play), cell.firstEnd, cell.fieldOrder)
            val second = answer(secondStatus, secondBody(play), cell.secondEnd, cell.fieldOrder)
            JoinedAnswer(first, second, cell.cut, cell.packets, cell.lateMs)
        }
        server.use {
            val faults = server.faults { _, play -> faultOf(server.address, play) }
            expectThat(faults).describedAs("faults of ${cells.size} plays").isEqualTo(emptyList())
        }
    }

    private fun expectRefused(seed: Int, call: (address: String, play: String) -> Result<Unit, EngineFailure>) =
        expectNoFault(seed, { DONE }, CONFLICT, { """{"reason":"no memory"}""" }) { address, play ->
            "a success".takeIf { call(address, play).getError() == null }
        }

    // Guards against memory that counts as reserved though the engine has refused it.
    @Test
    fun `a reservation is not granted by two joined answers`() = expectRefused(SEED) { address, play ->
        client.reserve(address, EngineHold(play, "r1", "entry-1", "1", expiresAtMs = 1, tokens = 1), TIMEOUT_MS)
    }

    @Test
    fun `an order is not accepted by two joined answers`() = expectRefused(SEED + 1) { address, play ->
        client.order(address, EngineOrderMessage(play, "model", fencingNumber = 1), TIMEOUT_MS)
    }

    @Test
    fun `a load report is not read from two joined answers`() = expectNoFault(
        SEED + 2,
        {
            """{"incarnation":"first","queued_prefill_tokens":1,"running":1,"kv_used":1,"kv_capacity":1111111111}""".padEnd(
                BODY_BYTES,
            )
        },
        OK,
        { """{"incarnation":"second","queued_prefill_tokens":2,"running":2,"kv_used":2,"kv_capacity":2222222}""" },
    ) { address, play ->
        // The id of the play is in the address only.
        val report = client.load("$address/$play", TIMEOUT_MS).get()
        val part = listOf(report?.incarnation, report?.running, report?.kvCapacityTokens)
        "joined: $part".takeUnless {
            report == null || part == listOf("first", 1, 1_111_111_111) ||
                part == listOf("second", 2, 2_222_222)
        }
    }

    private fun events(play: String, text: String): String {
        val tokens = (0 until TOKENS).joinToString("") { """data: {"request_id":"$play","index":$it,"token":"$text"}""" + "\n\n" }
        return tokens + """data: {"request_id":"$play","done":true,"tokens":$TOKENS}""" + "\n\n"
    }

    private fun streamFaultOf(address: String, play: String): String? {
        val message = EngineGenerate(play, "model", "prompt", maxTokens = TOKENS, priority = 0, deadlineAtMs = 0)
        val stream = client.generate(address, message, TIMEOUT_MS).get() ?: return null
        stream.use {
            val events = generateSequence { stream.next() }
                .takeWhile { it is EngineStreamEvent.Token }
                .map { (it as EngineStreamEvent.Token).text }.toList()
            val texts = events.toSet()
            return "tokens of $texts".takeIf { texts.size > 1 }
        }
    }

    // Guards against tokens of two answers in one stream.
    @Test
    fun `a stream is not joined from two streams`() =
        expectNoFault(SEED + 3, { events(it, "a") }, OK, { events(it, "b") }, ::streamFaultOf)

    @Test
    fun `a stream is not joined from a stream and a failure`() =
        expectNoFault(SEED + 4, { events(it, "a") }, CONFLICT, { """{"reason":"full"}""" }, ::streamFaultOf)

    private companion object {
        const val FIELDS = 4
        const val PLAYS = 800
        const val OK = 200
        const val CONFLICT = 409
        const val TOKENS = 8
        const val BODY_BYTES = 480
        const val TIMEOUT_MS = 500L
        const val SEED = 46_000_021
        val DONE = """{"done":true}""".padEnd(BODY_BYTES)
    }
}
