package org.godwitwick.node.entry

import org.godwitwick.core.config.Freshness
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.http.Drain
import org.godwitwick.node.http.ReadinessGate
import org.godwitwick.node.http.failureResponse
import org.http4k.core.Filter
import java.util.UUID

/** Refuses new work while this instance shuts down or cannot confirm that its configuration is the newest. */
class NewWorkGuard(private val drain: Drain, private val freshness: () -> Freshness) {
    /** The failure to return for a new request, or null if new requests are served. */
    fun refusal(): Failure? = drain.refusal() ?: configRefusal()

    /** A filter that refuses requests before they reach their handler. */
    fun filter(): Filter = Filter { next ->
        { request -> refusal()?.let { failureResponse(it, RequestId(UUID.randomUUID().toString())) } ?: next(request) }
    }

    /** Updates [gate] according to whether this instance can confirm its configuration. */
    fun updateReadiness(gate: ReadinessGate) {
        if (configRefusal() == null) gate.open(CONFIG_REASON) else gate.block(CONFIG_REASON, CUT_OFF_MESSAGE)
    }

    private fun configRefusal(): Failure? {
        val isRefusing = (freshness() as? Freshness.CutOff)?.refusesWork == true
        return if (isRefusing) Failure(ErrorKind.CONFIG_UNCONFIRMED, CUT_OFF_MESSAGE) else null
    }

    private companion object {
        const val CONFIG_REASON = "config_unconfirmed"
        const val CUT_OFF_MESSAGE = "this instance cannot confirm that its configuration is the newest"
    }
}
