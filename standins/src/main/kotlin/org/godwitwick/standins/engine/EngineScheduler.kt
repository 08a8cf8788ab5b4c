package org.godwitwick.standins.engine

import java.util.TreeSet

/** Receives the output of one task. Called under the engine's lock, so it must not block. */
interface EngineOutput {
    fun onToken(index: Int, token: String)

    /** Called once when the task is complete. [total] counts all tokens of the answer, including those before a resumption. */
    fun onDone(total: Int)
}

/**
 * One prompt that an engine prefills and, unless [maxTokens] is 0, answers.
 *
 * @property priority scheduling priority; lower values go first.
 * @property prompt text to prefill on this engine; if [contextHash] is not 0, it continues segments held by other engines.
 * @property maxTokens number of tokens of the whole answer; 0 for prefill only.
 * @property firstIndex index of the first token to generate, above 0 for a resumed request.
 * @property contextHash hash of the segments before [prompt], or 0 if there are none.
 * @property hold existing hold whose tokens the task uses, or null to make a reservation for the task.
 */
class EngineTask(
    val id: String,
    val priority: Int,
    val prompt: String,
    val maxTokens: Int,
    val firstIndex: Int = 0,
    val contextHash: Int = 0,
    val hold: EngineHold? = null,
    val output: EngineOutput,
) {
    internal val promptHash = extendHash(contextHash, prompt)
    internal val hashes = if (contextHash == 0 && hold == null) prefixHashes(prompt) else emptyList()
    internal val neededTokens = tokenCountOf(prompt) + maxTokens
    internal var sequence = 0L
    internal var nextIndex = firstIndex
    internal var remainingPrefill = 0
    internal var reservedTokens = 0
    internal var pinned = emptyList<String>()
    internal var isPrefilled = false
}

/**
 * Simulates continuous batching in model time: prefill runs in chunks, the first token follows the last chunk, and all decoding
 * tasks produce one token in each decode step. Not thread-safe: the caller provides locking and calls [advance] when
 * [nextEventMs] is reached.
 *
 * @property onPrefilled called for each task after its prefill and before its first token; returns false if the engine crashes,
 * and the task then produces no output.
 */
class EngineScheduler(
    private val spec: EngineSpec,
    val kvCache: KvCache = KvCache(spec.kvCapacityTokens),
    private val onPrefilled: (EngineTask) -> Boolean = { true },
) {
    private val queued = TreeSet(compareBy<EngineTask>({ it.priority }, { it.sequence }))
    private val decoding = LinkedHashSet<EngineTask>()
    private val byId = HashMap<String, EngineTask>()
    private var chunkTask: EngineTask? = null
    private var chunkTokens = 0
    private var chunkEndMs = Double.POSITIVE_INFINITY
    private var decodeAtMs = Double.POSITIVE_INFINITY
    private var nextSequence = 0L

    /** Admitted tasks that have not ended, in no particular order. */
    val tasks: List<EngineTask> get() = byId.values.toList()

    /** Number of tokens still to be prefilled. */
    val queuedPrefillTokens: Int get() = queued.sumOf { it.remainingPrefill }

    /** Prefill speed in real time, as load reports state it. */
    val prefillTokensPerSecond: Double get() = spec.prefillTokensPerSecond * spec.timeScale

    /** Number of tokens still to be prefilled for each priority, from priority 0 on. */
    fun queuedPrefillByPriority(): List<Long> {
        val byPriority = LongArray((queued.maxOfOrNull { it.priority } ?: 0) + 1)
        queued.forEach { byPriority[it.priority.coerceAtLeast(0)] += it.remainingPrefill.toLong() }
        return byPriority.toList()
    }

    /** Number of admitted tasks that have not ended. */
    val running: Int get() = byId.size

    /** Model time of the next event; infinite if there is none. */
    val nextEventMs: Double get() = minOf(chunkEndMs, decodeAtMs)

    /** Admits [task] and returns null, or returns the reason for refusing it. */
    fun submit(task: EngineTask, nowMs: Double): Refusal? {
        if (task.id in byId) return Refusal.DUPLICATE
        reserve(task)?.let { return it }
        task.sequence = nextSequence++
        task.remainingPrefill = (tokenCountOf(task.prompt) + task.firstIndex - task.pinned.size * BLOCK_TOKENS).coerceAtLeast(1)
        byId[task.id] = task
        queued += task
        if (chunkTask == null) startChunk(nowMs)
        return null
    }

    /** Ends the task with [id] without further output; returns false if there is none. */
    fun cancel(id: String): Boolean {
        val task = byId[id] ?: return false
        removeTask(task)
        return true
    }

    /** Processes all events up to model time [nowMs]. */
    fun advance(nowMs: Double) {
        while (nextEventMs <= nowMs) {
            if (chunkEndMs <= decodeAtMs) finishChunk(chunkEndMs) else decodeStep(decodeAtMs)
        }
    }

    private fun reserve(task: EngineTask): Refusal? {
        val hold = task.hold
        if (hold != null) return if (task.neededTokens > hold.tokens) Refusal.HOLD_TOO_SMALL else null
        task.pinned = task.hashes.take(kvCache.pinPrefix(task.hashes))
        val tokens = task.neededTokens - task.pinned.size * BLOCK_TOKENS
        if (kvCache.reserve(tokens)) {
            task.reservedTokens = tokens
            return null
        }
        kvCache.unpin(task.pinned)
        return Refusal.KV_FULL
    }

    private fun startChunk(nowMs: Double) {
        chunkTask = queued.firstOrNull()
        chunkTokens = minOf(spec.prefillChunkTokens, chunkTask?.remainingPrefill ?: 0)
        chunkEndMs = if (chunkTask == null) Double.POSITIVE_INFINITY else nowMs + spec.prefillMs(chunkTokens)
    }

    private fun finishChunk(nowMs: Double) {
        val task = chunkTask
        if (task != null && task.id in byId) {
            task.remainingPrefill -= chunkTokens
            if (task.remainingPrefill <= 0) finishPrefill(task, nowMs)
        }
        startChunk(nowMs)
    }

    private fun finishPrefill(task: EngineTask, nowMs: Double) {
        queued -= task
        task.isPrefilled = true
        if (!onPrefilled(task)) return
        if (task.nextIndex >= task.maxTokens) return complete(task)
        decoding += task
        emit(task)
        if (decodeAtMs.isInfinite() && decoding.isNotEmpty()) decodeAtMs = nowMs + spec.gapMs(decoding.size)
    }

    private fun decodeStep(nowMs: Double) {
        decoding.toList().forEach(::emit)
        decodeAtMs = if (decoding.isEmpty()) Double.POSITIVE_INFINITY else nowMs + spec.gapMs(decoding.size)
    }

    private fun emit(task: EngineTask) {
        val index = task.nextIndex++
        task.output.onToken(index, tokenText(task.promptHash, index))
        if (task.nextIndex >= task.maxTokens) complete(task)
    }

    private fun complete(task: EngineTask) {
        removeTask(task)
        task.output.onDone(task.nextIndex)
    }

    private fun removeTask(task: EngineTask) {
        byId.remove(task.id)
        queued -= task
        decoding -= task
        kvCache.release(task.reservedTokens)
        task.reservedTokens = 0
        kvCache.unpin(task.pinned)
        task.pinned = emptyList()
        if (task.isPrefilled) kvCache.store(task.hashes)
    }
}
