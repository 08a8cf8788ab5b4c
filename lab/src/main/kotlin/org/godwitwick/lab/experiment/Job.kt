package org.godwitwick.lab.experiment

import org.godwitwick.core.admission.AdmissionRequest

/** How a request ended in the model. */
enum class JobEnd { COMPLETE, REFUSED, PAST_DEADLINE, BROKEN }

/** One request on its way through the model. */
class Job(val arrival: Arrival, val entry: EntryModel, val admission: AdmissionRequest) {
    var engines: List<EngineModel> = emptyList()
    var segments: List<Int> = emptyList()
    var stage = 0
    var outLeft = 0
    var sentTokens = 0L
    var dispatchedAtMs = Double.NaN
    var firstTokenAtMs = Double.NaN
    var end: JobEnd? = null
    var endedAtMs = Double.NaN
    var dispatches = 0

    /** Whether the prompt needs the memory of several engines. */
    val isGroup: Boolean get() = engines.size > 1

    /** KV memory of the whole request. */
    val kvTokens: Long get() = arrival.promptTokens.toLong() + arrival.outTokens

    /** Time to first token from the intended arrival. */
    val ttftMs: Double get() = firstTokenAtMs - arrival.atMs

    /** The last member's prefill has ended. */
    fun firstToken() = entry.onFirstToken(this)

    /** All tokens were generated. */
    fun complete() = entry.onEnd(this, JobEnd.COMPLETE)

    /** Starts the next member's prefill. */
    fun nextSegment() {
        stage++
        submitSegment()
    }

    /** Queues the prefill of the present segment; of the whole prompt when there is one engine. */
    fun submitSegment() {
        val before = segments.take(stage).sum()
        engines[stage].submit(PrefillTask(this, segments[stage], before, stage == engines.lastIndex, hasMemory = isGroup))
    }
}
