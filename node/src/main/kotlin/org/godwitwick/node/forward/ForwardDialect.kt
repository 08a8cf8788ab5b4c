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

/** Translates between the HTTP messages of a deployment and the types of this package. It contains no decisions. */
interface ForwardDialect {
    /** Name of the header that holds the id of a request, in requests and in answers. */
    val requestIdHeader: String

    /** Decodes the header of a caller's request. */
    fun decode(request: Request): Result<CallerRequest, Failure>

    /** Encodes all headers of [call] except those of the connection. */
    fun encode(call: UpstreamCall): List<Pair<String, String>>

    /** Encodes all headers of [call] except those of the connection and of the relay itself. */
    fun encodeRelayed(call: RelayCall): List<Pair<String, String>>

    /** Decodes the head of an upstream's answer. */
    fun decodeHead(status: Int, headers: Headers): AnswerHead

    /** Builds the response that reports [failure] to the caller of request [id]. */
    fun failureResponse(failure: Failure, id: String): Response

    /** Builds an order to [upstream] that reserves [tokens] tokens for [holdMs] as [reservation], or extends that reservation. */
    fun reserve(upstream: UpstreamEntry, reservation: String, tokens: Long, holdMs: Long): EngineOrderCall

    /** Builds an order to [upstream] that releases [reservation]. */
    fun release(upstream: UpstreamEntry, reservation: String): EngineOrderCall

    /** Interprets the HTTP status of the reply to a [reserve] order. */
    fun reservationReply(status: Int): ReservationReply
}
