package org.godwitwick.lab.experiment

import org.godwitwick.core.admission.AdmissionRequest

/** How a request ended in the model. */
enum class JobEnd { COMPLETE, REFUSED, PAST_DEADLINE, BROKEN }

/** State of one request in the model. */
class Job(val arrival: Arrival, val entry: EntryModel, val admission: AdmissionRequest) {
    var engines: List<EngineModel> = emptyList()
    var segments: List<Int> = emptyList()
    var segmentIndex = 0
    var remainingOutputTokens = 0
    var outstandingPrefillTokens = 0L
    var dispatchedAtMs = Double.NaN
    var firstTokenAtMs = Double.NaN
    var end: JobEnd? = null
    var endedAtMs = Double.NaN
    var dispatches = 0

    /** Whether the prompt is split over the KV caches of several engines. */
    val isGroup: Boolean get() = engines.size > 1

    /** KV cache tokens of the whole request, prompt and output. */
    val kvTokens: Long get() = arrival.promptTokens.toLong() + arrival.outputTokens

    /** Time from the intended arrival to the first token, or NaN until then. */
    val ttftMs: Double get() = firstTokenAtMs - arrival.atMs

    /** Called when the last segment has been prefilled. */
    fun onFirstToken() = entry.onFirstToken(this)

    /** Called when all tokens have been generated. */
    fun onComplete() = entry.onEnd(this, JobEnd.COMPLETE)

    /** Queues the prefill of the next segment at the next engine of the group. */
    fun startNextSegment() {
        segmentIndex++
        submitSegment()
    }

    /** Queues the prefill of the current segment, which is the whole prompt if there is only one engine. */
    fun submitSegment() {
        val before = segments.take(segmentIndex).sum()
        engines[segmentIndex].submit(
            PrefillTask(this, segments[segmentIndex], before, segmentIndex == engines.lastIndex, hasKvReservation = isGroup),
        )
    }
}
