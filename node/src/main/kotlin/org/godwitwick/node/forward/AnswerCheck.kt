package org.godwitwick.node.forward

/** Checks whether an answer is one to the request that was sent, and only that. */
internal object AnswerCheck {
    private val SUCCESS = 200..299

    /** To callers these statuses mean that the request was not executed. */
    val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)

    /** Returns why the answer with [head] must not be passed on as the answer to [call], or null if it may be. */
    fun faultOf(call: UpstreamCall, head: AnswerHead): String? = when {
        // An additional answer on a kept connection may name no request.
        head.requestId == null -> "the answer names no request"

        head.requestId != call.request.id -> "the upstream answered another request"

        head.isAmbiguous -> "the head of the answer contains another one"

        head.isNotExecuted -> null

        head.isEncoded -> "the answer has an encoding that was not asked for"

        head.status in SUCCESS && !head.isSigned -> "the answer has no signature"

        // The upstream has not stated what these statuses mean to callers.
        head.status in NOT_EXECUTED_STATUSES ->
            "the upstream answered ${head.status} without stating that it did not execute the request"

        else -> null
    }
}
