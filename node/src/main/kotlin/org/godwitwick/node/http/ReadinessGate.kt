package org.godwitwick.node.http

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentSkipListMap

/** One reason for which an instance is not ready: a fixed [code] and one sentence of [detail]. */
@Serializable
data class UnreadyReason(val code: String, val detail: String)

/** Collects the reasons for which the load balancer should send no new requests. The instance is ready while there are none. */
class ReadinessGate {
    private val blocking = ConcurrentSkipListMap<String, UnreadyReason>()

    /** Present reasons, ordered by code. */
    val reasons: List<UnreadyReason> get() = blocking.values.toList()

    /** Makes the instance unready until [open] is called with the same [code]; a repeat replaces the detail. */
    fun block(code: String, detail: String) {
        blocking[code] = UnreadyReason(code, detail)
    }

    /** Removes the reason [code], if it is set. */
    fun open(code: String) {
        blocking.remove(code)
    }
}
