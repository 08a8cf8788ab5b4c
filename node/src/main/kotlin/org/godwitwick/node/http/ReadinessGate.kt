package org.godwitwick.node.http

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentSkipListMap

/** A reason why an instance is not ready: a fixed [code], and a [detail] of one sentence. */
@Serializable
data class UnreadyReason(val code: String, val detail: String)

/** Collects the reasons why the load balancer should send no new requests. The instance is ready while there are none. */
class ReadinessGate {
    private val reasonsByCode = ConcurrentSkipListMap<String, UnreadyReason>()

    /** Current reasons, ordered by code. */
    // toList() of Kotlin asks for the size first and fails if the only reason is removed before it is read.
    val reasons: List<UnreadyReason> get() = ArrayList(reasonsByCode.values)

    /**
     * Makes the instance unready until [open] is called with the same [code]. A second call with a code replaces its detail.
     */
    fun block(code: String, detail: String) {
        reasonsByCode[code] = UnreadyReason(code, detail)
    }

    /** Removes the reason [code], if it is set. */
    fun open(code: String) {
        reasonsByCode.remove(code)
    }
}
