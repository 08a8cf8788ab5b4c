package org.godwitwick.standins.engine

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

/**
 * Guards against a simulation that is more lenient than a real engine: unlimited memory, prefill without priorities, and
 * reservations that are not counted or not released.
 */
class EngineSchedulerTest {
    private class Recorder(private val clock: () -> Double) : EngineOutput {
        val tokensAtMs = ArrayList<Double>()
        var doneAtMs = -1.0

        override fun onToken(index: Int, token: String) {
            tokensAtMs += clock()
        }

        override fun onDone(total: Int) {
            doneAtMs = clock()
        }
    }

    private var nowMs = 0.0
    private val spec = EngineSpec(kvCapacityTokens = 100_000, prefillTokensPerSecond = 10_000.0, tokenGapMs = 20.0)
    private val scheduler = EngineScheduler(spec)

    @Test
    fun `a short prompt of higher priority overtakes a long one at the next chunk`() {
        val long = submit("long", 80_000, priority = 3)
        runUntil(1_000.0)
        val short = submit("short", 1_000, priority = 0)
        runUntil(60_000.0)
        expectThat(short.tokensAtMs.first()).isLessThan(1_000 + 2_048 / 10.0 + 1_000 / 10.0 + 1)
        expectThat(long.tokensAtMs.first()).isGreaterThan(8_000.0)
    }

    @Test
    fun `a prompt with a cached prefix is prefilled faster`() {
        val text = "a".repeat(4_096 * 10)
        val first = submitText("first", text)
        runUntil(10_000.0)
        val second = submitText("second", text + "b")
        runUntil(20_000.0)
        expectThat(first.tokensAtMs.first()).isEqualTo(1_024.0)
        expectThat(second.tokensAtMs.first() - 10_000).isLessThan(10.0)
    }

    @Test
    fun `a prompt that does not fit in memory is refused and reserves nothing`() {
        submit("a", 90_000)
        val used = scheduler.kvCache.usedTokens
        expectThat(scheduler.submit(task("b", "y".repeat(80_000)), nowMs)).isEqualTo(Refusal.KV_FULL)
        expectThat(scheduler.kvCache.usedTokens).isEqualTo(used)
    }

    @Test
    fun `decoding slows down as the batch grows`() {
        val alone = submit("alone", 4, maxTokens = 50)
        runUntil(10_000.0)
        val batch = List(20) { submit("batch$it", 4, maxTokens = 50) }
        runUntil(20_000.0)
        val slow = batch.last().run { doneAtMs - tokensAtMs.first() }
        expectThat(slow).isGreaterThan(alone.doneAtMs - alone.tokensAtMs.first())
    }

    @Test
    fun `ten thousand long reads with cancellations and refusals release all memory`() {
        val random = Random(7)
        val free = scheduler.kvCache.capacityTokens - scheduler.kvCache.usedTokens
        var cancelled = 0
        var refused = 0
        var holds = 0
        repeat(10_000) { number ->
            val prompt = "r${random.nextInt(40)}-".repeat(random.nextInt(2_000, 30_000))
            val isHeld = number % 5 == 0
            val hold = EngineHold("h$number", "r", "o", "1", 0, prompt.length / 4 + 20).takeIf {
                isHeld &&
                    scheduler.kvCache.addHold(it)
            }
            if (hold != null) holds++
            val submitted = EngineTask("r$number", random.nextInt(4), prompt, 16, hold = hold, output = Recorder { nowMs })
            if (scheduler.submit(submitted, nowMs) != null) refused++
            runUntil(nowMs + random.nextDouble(800.0))
            if (random.nextInt(4) == 0 && scheduler.cancel("r${number - random.nextInt(3)}")) cancelled++
            if (hold != null) {
                scheduler.cancel("r$number")
                scheduler.kvCache.removeHold(hold.id)
            }
        }
        runUntil(nowMs + 10_000_000)
        val freeAfter = scheduler.kvCache.capacityTokens - scheduler.kvCache.usedTokens
        println(
            "FIGURE 10000 long reads, $cancelled cancelled, $refused refused, $holds held: free tokens $free before, $freeAfter after",
        )
        expectThat(freeAfter).isEqualTo(free)
        expectThat(cancelled).isGreaterThan(500)
    }

    private fun submit(id: String, promptTokens: Int, priority: Int = 0, maxTokens: Int = 10): Recorder =
        submitText(id, "x".repeat(promptTokens * 4), priority, maxTokens)

    private fun submitText(id: String, prompt: String, priority: Int = 0, maxTokens: Int = 10): Recorder {
        val recorder = Recorder { nowMs }
        check(scheduler.submit(task(id, prompt, priority, maxTokens, recorder), nowMs) == null)
        return recorder
    }

    private fun task(
        id: String,
        prompt: String,
        priority: Int = 0,
        maxTokens: Int = 10,
        output: EngineOutput = Recorder {
            nowMs
        },
    ) = EngineTask(id, priority, prompt, maxTokens, output = output)

    private fun runUntil(endMs: Double) {
        while (scheduler.nextEventMs <= endMs) {
            nowMs = scheduler.nextEventMs
            scheduler.advance(nowMs)
        }
        nowMs = endMs
    }
}
