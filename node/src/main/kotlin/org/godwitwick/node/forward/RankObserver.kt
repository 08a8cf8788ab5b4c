package org.godwitwick.node.forward

import org.godwitwick.core.forward.RankedInputs
import org.slf4j.LoggerFactory

/** Logs and counts the decisions by rank on one request. Used by one thread. */
class RankObserver(private val metrics: ForwardMetrics, private val requestId: String) {
    private var hasWaited = false

    /** Records [decision] on the request at [service]; only the first of its waits is recorded. */
    fun onDecision(service: String, decision: PlacementDecision) {
        when (decision) {
            is PlacementDecision.Send -> decision.inputs?.let { onSend(service, it, decision.work) }
            is PlacementDecision.Wait -> decision.inputs?.let { onWait(service, it) }
            else -> Unit
        }
    }

    private fun onSend(service: String, inputs: RankedInputs, work: PlacedWork) {
        metrics.recordRanked(service, inputs.level, if (inputs.isLate) "late" else "in-time")
        // Short prompts are most of the load, and their placement is the usual one unless they are late.
        if (work.isShortStream && !inputs.isLate) return
        if (work.isShortStream) {
            log.debug(
                SENT,
                requestId,
                inputs.level,
                1,
                service,
                describe(inputs),
            )
        } else {
            logSent(service, inputs, work)
        }
    }

    private fun logSent(service: String, inputs: RankedInputs, work: PlacedWork) =
        log.info(SENT, requestId, inputs.level, work.placement.helpers.size + 1, service, describe(inputs))

    private fun onWait(service: String, inputs: RankedInputs) {
        if (hasWaited) return
        hasWaited = true
        metrics.recordRanked(service, inputs.level, "waited")
        log.info("forward: {} of level {} waits for engines of {}: {}", requestId, inputs.level, service, describe(inputs))
    }

    private fun describe(inputs: RankedInputs): String = with(inputs) {
        "$outranking of $engines engines have streams that outrank it, $reserved are left to lower ranks, own prefill " +
            "${forecast.partMs.toLong()} ms, pending prefill ${forecast.backlogMs.toLong()} ms${if (isLate) ", late" else ""}"
    }

    private companion object {
        const val SENT = "forward: {} of level {} is sent to {} engines of {}: {}"
        val log = LoggerFactory.getLogger(RankObserver::class.java)
    }
}
