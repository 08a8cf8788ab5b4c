package org.godwitwick.node.forward

import okio.ByteString.Companion.encodeUtf8
import okio.ByteString.Companion.toByteString
import org.http4k.core.Request
import org.http4k.core.Response
import java.security.MessageDigest

/**
 * How a request came through another instance.
 *
 * @property maxRuns number of upstreams on which it may still run.
 * @property isCounted whether the other instance has proved that it has counted it for the retry budget.
 */
data class RelayHop(val maxRuns: Int, val isCounted: Boolean)

/**
 * Headers between an instance that relays a request and the one that serves it. A caller that sets them restricts its own request
 * only: it is not relayed again, and is not run more often than its route allows. That a request is counted must be proved with the
 * secret that only instances have.
 *
 * @param secret returns the secret, or null while it is not known.
 */
class RelayHeaders(private val secret: () -> ByteArray?) {
    /** Header of the relayed request with id [requestId]. Versions that know no proof look at the first and the last part only. */
    fun encode(hop: RelayHop, requestId: String): Pair<String, String> {
        val proof = if (hop.isCounted) proofOf(hop.maxRuns, requestId)?.let { PROOF + it } else null
        return HOP to listOfNotNull(hop.maxRuns.toString(), proof, COUNTED.takeIf { hop.isCounted }).joinToString(SEPARATOR)
    }

    /** Returns how [request] with id [requestId] came through another instance, or null if it came from its caller. */
    fun hopOf(request: Request, requestId: String): RelayHop? = request.header(HOP)?.let { value ->
        val parts = value.split(SEPARATOR)
        val maxRuns = parts.first().toIntOrNull() ?: 1
        val proof = parts.firstOrNull { it.startsWith(PROOF) }?.removePrefix(PROOF)
        RelayHop(maxRuns, isCounted = parts.last() == COUNTED && proof != null && isProof(proof, maxRuns, requestId))
    }

    private fun isProof(proof: String, maxRuns: Int, requestId: String): Boolean =
        proofOf(maxRuns, requestId)?.let { MessageDigest.isEqual(it.toByteArray(), proof.toByteArray()) } ?: false

    private fun proofOf(maxRuns: Int, requestId: String): String? =
        secret()?.let { "relay$SEPARATOR$maxRuns$SEPARATOR$requestId".encodeUtf8().hmacSha256(it.toByteString()).hex() }

    companion object {
        /** Header of answers to relayed requests. */
        const val OUTCOME = "Godwitwick-Relay-Outcome"
        private const val HOP = "Godwitwick-Relay"
        private const val COUNTED = "counted"
        private const val PROOF = "proof="
        private const val SEPARATOR = ";"

        /** Adds [outcome] to the answer of a relayed request; the first call decides. */
        fun withOutcome(response: Response, outcome: RelayOutcome): Response =
            if (response.header(OUTCOME) != null) response else response.header(OUTCOME, outcome.text)

        /** Whether [name] is a header of this protocol. */
        fun isOwn(name: String): Boolean = name.equals(HOP, ignoreCase = true) || name.equals(OUTCOME, ignoreCase = true)
    }
}
