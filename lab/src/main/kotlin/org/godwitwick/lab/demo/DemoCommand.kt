package org.godwitwick.lab.demo

import org.godwitwick.lab.process.EntryProcess
import org.godwitwick.lab.process.LabClient
import org.godwitwick.lab.process.ProcessFleet
import org.godwitwick.lab.process.SmallFleet
import org.godwitwick.lab.process.StreamResult
import org.godwitwick.lab.process.newIdempotencyKey
import org.godwitwick.standins.run.ServiceStandin
import picocli.CommandLine.Command
import java.util.concurrent.Callable

/** Starts a small fleet, prints the results that callers get, stops the fleet, and returns 1 if a result was unexpected. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = ["Starts stand-ins and three entry instances, sends short and long prompts as streams, and stops everything."],
)
class DemoCommand : Callable<Int> {
    private val firstTokens = FirstTokenRecorder()
    private val unexpected = ArrayList<String>()

    override fun call(): Int {
        val startedNanos = System.nanoTime()
        SmallFleet(engines, services = listOf(orderDesk), newObserver = firstTokens::newObserver).use(::show)
        unexpected.forEach { println("demo: unexpected: $it") }
        val verdict = if (unexpected.isEmpty()) "all went as expected" else "${unexpected.size} steps did not go as expected"
        println("demo: $verdict, ${(System.nanoTime() - startedNanos) / NANOS_PER_MS} ms")
        return if (unexpected.isEmpty()) 0 else 1
    }

    private fun show(fleet: SmallFleet) {
        val entries = (1..ENTRIES).map { fleet.entry("entry-$it") }
        println("demo: ${engines.size} engines and ${entries.size} entry instances run")
        fleet.publishEntries(entries)
        showStreams(entries)
        showPublication(entries)
        showDeposit(entries)
        showDrain(entries)
    }

    private fun showStreams(entries: List<EntryProcess>) {
        println(
            "%-8s %-8s %16s %16s %12s %7s".format("instance", "prompt", "engine first ms", "caller first ms", "end ms", "tokens"),
        )
        prompts.forEach { (label, tokens) ->
            entries.forEach { entry -> showStream(entry, label, "note ".repeat(tokens * CHARS_PER_TOKEN / WORD_CHARS)) }
        }
    }

    private fun showStream(entry: EntryProcess, label: String, prompt: String) {
        val result = LabClient.stream(entry.address, prompt, MAX_TOKENS)
        val engineFirst = firstTokens.firstTokenNanos(result.requestId)
        println(
            "%-8s %-8s %16s %16s %12s %7d".format(
                entry.settings.instanceId,
                label,
                sinceSent(result, engineFirst),
                sinceSent(result, result.firstTokenNanos),
                result.elapsedMs,
                result.tokens,
            ),
        )
        val callerFirst = result.firstTokenNanos
        val isInOrder = engineFirst != null && callerFirst != null && engineFirst <= callerFirst && callerFirst < result.endNanos
        expect(result.isComplete && result.tokens == MAX_TOKENS, "$label at ${entry.settings.instanceId}: $result")
        expect(
            isInOrder,
            "$label at ${entry.settings.instanceId}: first token at the engine, at the caller and the end are out of order",
        )
    }

    private fun showPublication(entries: List<EntryProcess>) {
        val published = LabClient.post(entries[0].address, "/admin/v1/publications", PUBLICATION, ProcessFleet.OPERATOR_KEY)
        println("demo: publication: status ${published.status}, ${published.body.take(MAX_BODY_CHARS)}")
        expect(published.status == OK, "publication: $published")
        val conflicting = PUBLICATION.replace("demo-1", "demo-2")
        val conflict = LabClient.post(entries[1].address, "/admin/v1/publications", conflicting, ProcessFleet.OPERATOR_KEY)
        println("demo: conflicting publication at another instance: status ${conflict.status}")
        expect(conflict.status == CONFLICT, "conflicting publication: $conflict")
    }

    private fun showDeposit(entries: List<EntryProcess>) {
        val headers = mapOf("Idempotency-Key" to newIdempotencyKey())
        entries.take(2).forEach { entry ->
            val answer = LabClient.post(entry.address, "/services/order-desk/deposits", "{}", ProcessFleet.CALLER_KEY, headers)
            println("demo: deposit at ${entry.settings.instanceId}: status ${answer.status}, ${answer.body.trim()}")
            expect(answer.status == OK && "\"executions\":1" in answer.body, "deposit: $answer")
        }
    }

    private fun showDrain(entries: List<EntryProcess>) {
        entries.forEach { it.process.terminate() }
        val codes = entries.map { it.process.awaitExit(EXIT_TIMEOUT_MS) }
        println("demo: exit codes after SIGTERM: $codes")
        expect(codes.all { it == 0 }, "exit codes $codes")
    }

    private fun expect(isAsExpected: Boolean, what: String) {
        if (!isAsExpected) unexpected += what
    }

    private fun sinceSent(result: StreamResult, nanos: Long?): String =
        nanos?.let { ((it - result.sentNanos) / NANOS_PER_MS).toString() } ?: "unknown"

    private companion object {
        const val ENTRIES = 3
        const val OK = 200
        const val CONFLICT = 409
        const val MAX_BODY_CHARS = 160
        const val PUBLICATION = """{"id":"demo-1","author":"lab-operator","atMs":1,"reason":"deposits are charged once",
            "changes":[{"name":"service.routes","scope":"service:order-desk",
            "value":[{"method":"POST","pathPrefix":"/deposits","idempotent":false}]}]}"""
        val orderDesk = ServiceStandin("desk-1", "order-desk", SmallFleet.LOCATION)
        const val MAX_TOKENS = 20
        const val CHARS_PER_TOKEN = 4
        const val WORD_CHARS = 5
        const val NANOS_PER_MS = 1_000_000L
        const val EXIT_TIMEOUT_MS = 15_000L
        val engines = (1..2).map { SmallFleet.engine("engine-$it", tokenGapMs = 25.0) }
        val prompts = listOf("short" to 1_000, "long" to 60_000)
    }
}
