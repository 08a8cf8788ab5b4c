package org.godwitwick.lab.upstream

import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.standins.engine.Crossing
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.engine.expectedTokens
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against engine memory that is never released and tokens of other requests, over many long prompts with faults (G2, G3).
 */
class LongReadsTest {
    @Test
    fun `ten thousand long reads with faults leave no engine memory in use and no caller gets a token of another request`() {
        val fleet = EngineFleet(6, stallMs = 250) {
            FakeEngine(0, prefillTokensPerSecond = 100_000.0, timeScale = 100.0, kvCapacityTokens = 30_000)
        }
        fleet.use {
            fleet.engines.forEach { it.faults.dropsCancelReply = true }
            val gateway = fleet.gateway().also { it.start() }
            val ends = ConcurrentHashMap<String, AtomicInteger>()
            val wrong = AtomicInteger()
            val startedNs = System.nanoTime()
            val pool = Executors.newFixedThreadPool(24)
            pool.invokeAll(
                (0 until READS).map { number ->
                    Callable {
                        inject(fleet, number)
                        // One prompt in twenty exceeds the memory of one engine.
                        val prompt = "read $number ".repeat(if (number % 20 == 0) 13_000 else 1_500)
                        val (texts, end) = read(gateway, prompt, number)
                        val expected = expectedTokens(prompt, 8)
                        if (texts != expected.take(texts.size) || (end == "Done" && texts != expected)) wrong.incrementAndGet()
                        ends.computeIfAbsent(end) { AtomicInteger() }.incrementAndGet()
                    }
                },
            ).forEach { it.get() }
            pool.shutdown()
            fleet.awaitFree()
            val seconds = (System.nanoTime() - startedNs) / 1_000_000_000
            val used = fleet.engines.map { it.kvUsedTokens }
            println(
                "FIGURE $READS long reads on 6 engines in $seconds s: ends $ends, wrong answers $wrong, used tokens after $used",
            )
            println(
                "FIGURE ids dropped ${gateway.counters.wrongRequestIds}, stalls ${gateway.counters.stalls}, retries ${gateway.counters.retries}",
            )
            expectThat(wrong.get()).isEqualTo(0)
            expectThat(ends.getValue("Done").get()).isGreaterThan(READS / 2)
        }
    }

    private fun inject(fleet: EngineFleet, number: Int) {
        val engine = fleet.engines[number % fleet.engines.size]
        when {
            number % 503 == 0 -> engine.restart()
            number % 211 == 0 -> engine.resetStreams()
            number % 307 == 0 -> engine.freezeStreams()
            number % 401 == 0 -> engine.faults.crossing = Crossing.SWAP
            number % 101 == 0 -> fleet.engines.forEach { it.faults.crossing = null }
        }
    }

    private fun read(gateway: EngineGateway, prompt: String, number: Int): Pair<List<String>, String> {
        val request = request(prompt, maxTokens = 8, timeoutMs = 10_000)
        val started = gateway.generate.start(request)
        val stream = started.component1() ?: return emptyList<String>() to started.component2()!!.kind.code
        if (number % 10 == 3) gateway.generate.cancel(request.organisation, request.id)
        val (texts, end) = stream.readAll()
        return texts to ((end as? TokenEvent.Failed)?.failure?.kind?.code ?: "Done")
    }

    private companion object {
        const val READS = 10_000
    }
}
