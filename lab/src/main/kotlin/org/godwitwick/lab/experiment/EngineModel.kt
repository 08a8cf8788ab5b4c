package org.godwitwick.lab.experiment

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.BLOCK_TOKENS
import org.godwitwick.core.placement.CacheEvent
import org.godwitwick.core.placement.LoadReport

/**
 * One prefill on one engine: a whole prompt, or the segment of a group member.
 *
 * @property tokens tokens left to prefill.
 * @property contextTokens prompt tokens before them, which are cached, prefilled or on other members of the group.
 * @property isLast whether the first token follows this prefill.
 * @property hasKvReservation whether the engine has reserved KV cache for the job.
 */
class PrefillTask(val job: Job, var tokens: Int, var contextTokens: Int, val isLast: Boolean, var hasKvReservation: Boolean) {
    var isStarted = false
}

/**
 * A modelled engine: continuous batching, chunked prefill by priority, and a bounded KV cache whose free part is a
 * prefix cache.
 */
class EngineModel(
    val id: InstanceId,
    private val clock: ModelClock,
    private val speed: EngineSpeed,
    private val usesPriority: Boolean,
) {
    private val waiting = List(PromptClass.entries.size) { ArrayDeque<PrefillTask>() }
    private val decoding = ArrayList<Job>()
    private val reserved = HashMap<Job, Long>()
    private val cache = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val events = ArrayList<CacheEvent>()
    private var sequence = 0L
    private var isStepping = false
    private var epoch = 0
    private var usedKvTokens = 0L

    /** Whether the engine runs; false from [crash] to [restart]. */
    var isAlive = true
        private set

    /** Time spent in steps. */
    var busyMs = 0.0
        private set

    /** Reserves [tokens] of KV cache for [job]; returns false if there is not enough or the engine has crashed. */
    fun reserve(job: Job, tokens: Long): Boolean {
        if (!isAlive || usedKvTokens + tokens > speed.kvTokens) return false
        reserved[job] = tokens
        usedKvTokens += tokens
        trimCache()
        return true
    }

    /** Releases the KV cache of [job] and removes its queued tasks. */
    fun release(job: Job) {
        usedKvTokens -= reserved.remove(job) ?: 0L
        waiting.forEach { queue -> queue.removeAll { it.job === job } }
        decoding.remove(job)
        // A task that waits for KV cache may now be able to start.
        if (isAlive && !isStepping) step()
    }

    /** Queues [task]. */
    fun submit(task: PrefillTask) {
        waiting[priorityOf(task)].addLast(task)
        if (!isStepping) step()
    }

    /** Current load. */
    fun report(): LoadReport = LoadReport(
        incarnation = "i$epoch",
        atMs = clock.nowMs.toLong(),
        queuedPrefillTokens = PromptClass.entries.map { c ->
            waiting.sumOf { queue -> queue.sumOf { if (it.job.arrival.promptClass == c) it.tokens.toLong() else 0L } }
        },
        freeKvTokens = speed.kvTokens - usedKvTokens,
        kvCapacityTokens = speed.kvTokens,
        prefillTokensPerSecond = speed.prefillTokensPerSecond * speed.chunkTokens /
            (speed.chunkTokens + speed.stepBaseMs * speed.prefillTokensPerSecond / 1_000.0),
    )

    /** Returns and clears the cache events since the last call. */
    fun drainEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    /** Stops the engine and clears its state; returns the jobs that it ran or had queued. */
    fun crash(): Set<Job> {
        val jobs = (waiting.flatMap { queue -> queue.map { it.job } } + decoding + reserved.keys).toSet()
        waiting.forEach { it.clear() }
        decoding.clear()
        reserved.clear()
        cache.clear()
        events.clear()
        usedKvTokens = 0
        sequence = 0
        epoch++
        isAlive = false
        isStepping = false
        return jobs
    }

    /** Starts the engine again with the empty state that [crash] leaves. */
    fun restart() {
        isAlive = true
    }

    private fun priorityOf(task: PrefillTask) = if (usesPriority) task.job.arrival.promptClass.ordinal else 0

    private fun step() {
        var budget = speed.chunkTokens
        var workMs = 0.0
        val finished = ArrayList<PrefillTask>()
        for (queue in waiting) {
            for (task in queue) {
                if (budget == 0) break
                if (!tryStart(task)) continue
                val chunk = minOf(budget, task.tokens)
                workMs += speed.prefillMs(chunk, task.contextTokens)
                task.tokens -= chunk
                task.contextTokens += chunk
                budget -= chunk
                if (task.tokens == 0) finished += task
            }
        }
        if (budget == speed.chunkTokens && decoding.isEmpty()) {
            isStepping = false
            return
        }
        isStepping = true
        val stepMs = speed.stepBaseMs + workMs + decoding.size * speed.decodeMs
        val startedEpoch = epoch
        clock.after(stepMs) { if (epoch == startedEpoch) finishStep(stepMs, finished) }
    }

    private fun tryStart(task: PrefillTask): Boolean {
        if (task.isStarted) return true
        if (!task.hasKvReservation && !reserve(task.job, task.job.kvTokens)) return false
        task.hasKvReservation = true
        task.isStarted = true
        if (!task.job.isGroup) {
            val blocks = task.job.arrival.blocks
            var hits = 0
            while (hits < blocks.size && cache.get(blocks[hits]) != null) hits++
            val cached = minOf(hits * BLOCK_TOKENS, task.tokens - 1)
            task.tokens -= cached
            task.contextTokens += cached
        }
        return true
    }

    private fun finishStep(stepMs: Double, finished: List<PrefillTask>) {
        busyMs += stepMs
        val done = decoding.filter { --it.remainingOutputTokens <= 0 }
        decoding.removeAll(done.toSet())
        done.forEach { it.onComplete() }
        for (task in finished) {
            if (!waiting[priorityOf(task)].remove(task)) continue
            if (!task.job.isGroup) cacheBlocks(task.job.arrival.blocks)
            if (task.isLast) {
                task.job.onFirstToken()
                task.job.remainingOutputTokens = task.job.arrival.outputTokens - 1
                decoding += task.job
            } else {
                task.job.startNextSegment()
            }
        }
        step()
    }

    private fun cacheBlocks(blocks: LongArray) {
        for (block in blocks) if (cache.put(block, Unit) == null) events += CacheEvent(sequence++, block, isAdded = true)
        trimCache()
    }

    private fun trimCache() {
        val maxBlocks = ((speed.kvTokens - usedKvTokens) / BLOCK_TOKENS).toInt()
        val oldest = cache.keys.iterator()
        while (cache.size > maxBlocks && oldest.hasNext()) {
            events += CacheEvent(sequence++, oldest.next(), isAdded = false)
            oldest.remove()
        }
    }
}
