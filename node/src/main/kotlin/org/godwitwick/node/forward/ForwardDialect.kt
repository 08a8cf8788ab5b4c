package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import okhttp3.Headers
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.UpstreamEntry
import org.http4k.core.Request
import org.http4k.core.Response

/** An order to an engine: the body of a POST to [path]. */
data class EngineOrderCall(val path: String, val headers: List<Pair<String, String>>, val json: String)

/** An engine's reply to a reservation. */
enum class ReservationReply { HELD, WAITING, REFUSED }

/** Translates between a deployment's messages and the types of this package. It decides nothing. */
interface ForwardDialect {
    /** Decodes the header of a caller's request. */
    fun decode(request: Request): Result<CallerRequest, Failure>

    /** All headers of [call] but those of the connection. */
    fun encode(call: UpstreamCall): List<Pair<String, String>>

    /** Decodes the head of an upstream's answer. */
    fun decodeHead(status: Int, headers: Headers): AnswerHead

    /** The answer that tells the caller of request [id] of [failure]. */
    fun failureResponse(failure: Failure, id: String): Response

    /** An order to [upstream] that reserves [tokens] for [holdMs] under the name [reservation], or extends the reservation. */
    fun reserve(upstream: UpstreamEntry, reservation: String, tokens: Long, holdMs: Long): EngineOrderCall

    /** An order to [upstream] that ends a reservation. */
    fun release(upstream: UpstreamEntry, reservation: String): EngineOrderCall

    /** What the status of the reply to [reserve] says. */
    fun reservationReply(status: Int): ReservationReply
}
