package org.godwitwick.node.upstream

import okhttp3.Response

/** How an upstream states where the body of its answer ends; [text] is used in logs. */
enum class AnswerFraming(val text: String) {
    LENGTH("length"),
    CHUNKS("chunks"),

    /** The body ends with the connection, so that only a reset can be told from its end. */
    CONNECTION("connection"),
    ;

    companion object {
        private val BODILESS_STATUSES = setOf(204, 304)

        /** Whether the end of [response] is known from its head or its chunks, as opposed to the end of its connection. */
        fun statesItsEnd(response: Response): Boolean = response.code in BODILESS_STATUSES || of(response) != CONNECTION

        /** The framing of [response]; chunks have precedence over a length. */
        fun of(response: Response): AnswerFraming = when {
            response.header("Transfer-Encoding").equals("chunked", ignoreCase = true) -> CHUNKS
            response.header("Content-Length") != null -> LENGTH
            else -> CONNECTION
        }
    }
}
