package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry

/**
 * Takes the retries of one request from the retry budget. A silent send is cancelled only after its retry has been reserved.
 *
 * @param service returns the service of the request.
 */
class RunRetries(private val context: ForwardContext, private val service: () -> String) {
    @Volatile
    private var isReserved = false

    /** Takes the reserved retry, or one from the budget; returns false if there is none. */
    fun take(): Boolean {
        if (!isReserved) return context.budgets.tryTake(service(), Clocks.steadyMs())
        isReserved = false
        return true
    }

    /** The policy for the silence of a send to [engines]. */
    fun silencePolicyOf(engines: List<UpstreamEntry>) = object : SilencePolicy {
        override fun isPrefilling(nowMs: Long): Boolean = context.placer.isPrefilling(engines, nowMs)

        override fun reserveRetry(nowMs: Long): Boolean {
            if (!isReserved) isReserved = context.budgets.tryTake(service(), nowMs)
            return isReserved
        }
    }
}
