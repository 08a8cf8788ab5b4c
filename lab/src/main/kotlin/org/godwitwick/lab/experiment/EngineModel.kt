package org.godwitwick.lab.experiment

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.BLOCK_TOKENS
import org.godwitwick.core.placement.CacheEvent
import org.godwitwick.core.placement.LoadReport

/** One prefill on one engine: a whole prompt, or a segment of a group's prompt behind [contextTokens] of other members. */
class PrefillTask(val job: Job, var tokens: Int, var contextTokens: Int, val isLast: Boolean, var hasMemory: Boolean) {
    var isStarted = false
}

/** A modelled engine: continuous batching with chunked prefill by priority, bounded KV memory and a prefix cache in its free part. */
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
    private var kvUsed = 0L

    /** False while the engine is dead. */
    var isAlive = true
        private set

    /** Time in which the engine computed steps. */
    var busyMs = 0.0
        private set

    /** Reserves KV memory for [job]; false when there is not enough. */
    fun reserve(job: Job, tokens: Long): Boolean {
        if (!isAlive || kvUsed + tokens > speed.kvTokens) return false
        reserved[job] = tokens
        kvUsed += tokens
        trimCache()
        return true
    }

    /** Gives back the memory of [job] and drops what it has queued. */
    fun release(job: Job) {
        kvUsed -= reserved.remove(job) ?: 0L
        waiting.forEach { queue -> queue.removeAll { it.job === job } }
        decoding.remove(job)
        // A task that waits for memory may go on now.
        if (isAlive && !isStepping) step()
    }

    /** Queues [task]. */
    fun submit(task: PrefillTask) {
        waiting[priorityOf(task)].addLast(task)
        if (!isStepping) step()
    }

    /** Load at present. */
    fun report(): LoadReport = LoadReport(
        incarnation = "i$epoch",
        atMs = clock.nowMs.toLong(),
        queuedPrefillTokens = PromptClass.entries.map { c ->
            waiting.sumOf { queue -> queue.sumOf { if (it.job.arrival.promptClass == c) it.tokens.toLong() else 0L } }
        },
        freeKvTokens = speed.kvTokens - kvUsed,
        kvCapacityTokens = speed.kvTokens,
        prefillTokensPerSecond = speed.prefillTokensPerSecond * speed.chunkTokens /
            (speed.chunkTokens + speed.stepBaseMs * speed.prefillTokensPerSecond / 1_000.0),
    )

    /** Cache events since the last call. */
    fun takeEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    /** The engine dies; returns the jobs that it ran. */
    fun die(): Set<Job> {
        val jobs = (waiting.flatMap { queue -> queue.map { it.job } } + decoding + reserved.keys).toSet()
        waiting.forEach { it.clear() }
        decoding.clear()
        reserved.clear()
        cache.clear()
        events.clear()
        kvUsed = 0
        sequence = 0
        epoch++
        isAlive = false
        isStepping = false
        return jobs
    }

    /** The engine is back, empty. */
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
                if (!begin(task)) continue
                val now = minOf(budget, task.tokens)
                workMs += speed.prefillMs(now, task.contextTokens)
                task.tokens -= now
                task.contextTokens += now
                budget -= now
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

    private fun begin(task: PrefillTask): Boolean {
        if (task.isStarted) return true
        if (!task.hasMemory && !reserve(task.job, task.job.kvTokens)) return false
        task.hasMemory = true
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
        val done = decoding.filter { --it.outLeft <= 0 }
        decoding.removeAll(done.toSet())
        done.forEach { it.complete() }
        for (task in finished) {
            if (!waiting[priorityOf(task)].remove(task)) continue
            if (!task.job.isGroup) keep(task.job.arrival.blocks)
            if (task.isLast) {
                task.job.firstToken()
                task.job.outLeft = task.job.arrival.outTokens - 1
                decoding += task.job
            } else {
                task.job.nextSegment()
            }
        }
        step()
    }

    private fun keep(blocks: LongArray) {
        for (block in blocks) if (cache.put(block, Unit) == null) events += CacheEvent(sequence++, block, isAdded = true)
        trimCache()
    }

    private fun trimCache() {
        val most = ((speed.kvTokens - kvUsed) / BLOCK_TOKENS).toInt()
        val oldest = cache.keys.iterator()
        while (cache.size > most && oldest.hasNext()) {
            events += CacheEvent(sequence++, oldest.next(), isAdded = false)
            oldest.remove()
        }
    }
}
