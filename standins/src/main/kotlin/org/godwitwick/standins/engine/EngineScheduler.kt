package org.godwitwick.standins.engine

import java.util.TreeSet

/** Receives what an engine produces for one piece of work. Called under the engine's lock, so it must not block. */
interface EngineOutput {
    fun onToken(index: Int, token: String)

    /** The work is complete; [total] tokens exist, those that were resumed included. */
    fun onDone(total: Int)
}

/**
 * One prompt to run.
 *
 * @property prompt text to prefill here; with [contextHash] it continues segments that other engines hold.
 * @property maxTokens tokens of the whole answer; 0 only prefills.
 * @property firstIndex index of the first token to generate, above 0 for a resumed request.
 * @property hold reservation in which the work runs, or null to reserve memory of its own.
 */
class EngineWork(
    val id: String,
    val priority: Int,
    val prompt: String,
    val maxTokens: Int,
    val firstIndex: Int = 0,
    val contextHash: Int = 0,
    val hold: EngineHold? = null,
    val output: EngineOutput,
) {
    internal val promptHash = continueHash(contextHash, prompt)
    internal val hashes = if (contextHash == 0 && hold == null) prefixHashes(prompt) else emptyList()
    internal val neededTokens = tokensOf(prompt) + maxTokens
    internal var sequence = 0L
    internal var nextIndex = firstIndex
    internal var remainingPrefill = 0
    internal var reservedTokens = 0
    internal var pinned = emptyList<String>()
    internal var isPrefilled = false
}

/**
 * Continuous batching in model time: prefill runs in chunks, the first token follows the last chunk, and all decoding requests
 * produce one token in each decode step. The caller provides locking and calls [advance] no earlier than [nextEventMs].
 *
 * @property onPrefilled called with each work whose prefill has ended, before its first token; false stops the engine.
 */
class EngineScheduler(
    private val spec: EngineSpec,
    val memory: KvMemory = KvMemory(spec.kvCapacityTokens),
    private val onPrefilled: (EngineWork) -> Boolean = { true },
) {
    private val waiting = TreeSet(compareBy<EngineWork>({ it.priority }, { it.sequence }))
    private val decoding = LinkedHashSet<EngineWork>()
    private val byId = HashMap<String, EngineWork>()
    private var chunk: EngineWork? = null
    private var chunkTokens = 0
    private var chunkEndMs = Double.POSITIVE_INFINITY
    private var decodeAtMs = Double.POSITIVE_INFINITY
    private var submitted = 0L

    /** Present works, in no order. */
    val works: List<EngineWork> get() = byId.values.toList()

    /** Tokens that are still to be prefilled. */
    val queuedPrefillTokens: Int get() = waiting.sumOf { it.remainingPrefill }

    /** Prefill speed in real time, which is what a load report states. */
    val prefillTokensPerSecond: Double get() = spec.prefillTokensPerSecond * spec.timeScale

    /** Prefill tokens that wait, by priority from 0 on. */
    fun queuedPrefillByPriority(): List<Long> {
        val byPriority = LongArray((waiting.maxOfOrNull { it.priority } ?: 0) + 1)
        waiting.forEach { byPriority[it.priority.coerceAtLeast(0)] += it.remainingPrefill.toLong() }
        return byPriority.toList()
    }

    /** Requests that are admitted and not ended. */
    val running: Int get() = byId.size

    /** Model time of the next event, infinite when there is no work. */
    val nextEventMs: Double get() = minOf(chunkEndMs, decodeAtMs)

    /** Admits [work], or says why not. */
    fun submit(work: EngineWork, nowMs: Double): Refusal? {
        if (work.id in byId) return Refusal.DUPLICATE
        reserve(work)?.let { return it }
        work.sequence = submitted++
        work.remainingPrefill = (tokensOf(work.prompt) + work.firstIndex - work.pinned.size * BLOCK_TOKENS).coerceAtLeast(1)
        byId[work.id] = work
        waiting += work
        if (chunk == null) startChunk(nowMs)
        return null
    }

    /** Ends the work with [id] without further output; false when there is none. */
    fun cancel(id: String): Boolean {
        val work = byId[id] ?: return false
        end(work)
        return true
    }

    /** Handles all events up to [nowMs]. */
    fun advance(nowMs: Double) {
        while (nextEventMs <= nowMs) {
            if (chunkEndMs <= decodeAtMs) finishChunk(chunkEndMs) else decodeStep(decodeAtMs)
        }
    }

    private fun reserve(work: EngineWork): Refusal? {
        val hold = work.hold
        if (hold != null) return if (work.neededTokens > hold.tokens) Refusal.HOLD_TOO_SMALL else null
        work.pinned = work.hashes.take(memory.pinPrefix(work.hashes))
        val tokens = work.neededTokens - work.pinned.size * BLOCK_TOKENS
        if (memory.reserve(tokens)) {
            work.reservedTokens = tokens
            return null
        }
        memory.unpin(work.pinned)
        return Refusal.KV_FULL
    }

    private fun startChunk(nowMs: Double) {
        chunk = waiting.firstOrNull()
        chunkTokens = minOf(spec.prefillChunkTokens, chunk?.remainingPrefill ?: 0)
        chunkEndMs = if (chunk == null) Double.POSITIVE_INFINITY else nowMs + spec.prefillMs(chunkTokens)
    }

    private fun finishChunk(nowMs: Double) {
        val work = chunk
        if (work != null && work.id in byId) {
            work.remainingPrefill -= chunkTokens
            if (work.remainingPrefill <= 0) prefilled(work, nowMs)
        }
        startChunk(nowMs)
    }

    private fun prefilled(work: EngineWork, nowMs: Double) {
        waiting -= work
        work.isPrefilled = true
        if (!onPrefilled(work)) return
        if (work.nextIndex >= work.maxTokens) return complete(work)
        decoding += work
        emit(work)
        if (decodeAtMs.isInfinite() && decoding.isNotEmpty()) decodeAtMs = nowMs + spec.gapMs(decoding.size)
    }

    private fun decodeStep(nowMs: Double) {
        decoding.toList().forEach(::emit)
        decodeAtMs = if (decoding.isEmpty()) Double.POSITIVE_INFINITY else nowMs + spec.gapMs(decoding.size)
    }

    private fun emit(work: EngineWork) {
        val index = work.nextIndex++
        work.output.onToken(index, tokenText(work.promptHash, index))
        if (work.nextIndex >= work.maxTokens) complete(work)
    }

    private fun complete(work: EngineWork) {
        end(work)
        work.output.onDone(work.nextIndex)
    }

    private fun end(work: EngineWork) {
        byId.remove(work.id)
        waiting -= work
        decoding -= work
        memory.release(work.reservedTokens)
        work.reservedTokens = 0
        memory.unpin(work.pinned)
        work.pinned = emptyList()
        if (work.isPrefilled) memory.store(work.hashes)
    }
}
