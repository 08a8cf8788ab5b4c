package org.godwitwick.node.forward

import okhttp3.Call
import okhttp3.Response
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.node.upstream.AnswerFraming
import org.godwitwick.node.upstream.WriteGate

/** Result of one send. */
sealed interface SendResult {
    /** The head of an answer has arrived; [close] ends the call. */
    class Open(val head: AnswerHead, val response: Response, private val call: Call, private val gate: WriteGate) : SendResult {
        /** How the upstream states the end of the body. */
        val framing: AnswerFraming = AnswerFraming.of(response)

        /** How the answer was received, for logs. */
        val receipt: String
            get() {
                val connection = if (gate.isOnKeptConnection) "kept" else "new"
                val passedOver = gate.passedOverAnswers.let { if (it == 0) "" else " after $it late answers to other requests" }
                return "framed by ${framing.text} on a $connection connection$passedOver"
            }

        /** Ends the call; its connection is reused only if the whole body was read. */
        fun close() = response.close()

        /** Ends the call and closes its connection. */
        fun abort() = call.cancel()
    }

    /** The send has ended without an answer to pass on; [faultyAddress] is the other upstream that caused a refusal, or null. */
    class Ended(val end: AttemptEnd, val faultyAddress: String? = null) : SendResult
}

/** Result of a send to another instance; [outcome] is what that states of the request, or null if it states nothing. */
internal class RelayResult(val send: SendResult, val outcome: RelayOutcome?)
