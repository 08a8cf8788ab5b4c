package org.godwitwick.core.http

/** How a response states where its body ends (RFC 9112, section 6.3). */
sealed interface BodyFraming {
    /** The body has [bytes] bytes; 0 also if the response can't have a body. */
    data class Length(val bytes: Long) : BodyFraming

    /** The body is sent in chunks. */
    data object Chunks : BodyFraming

    /** The body ends with its connection. */
    data object Connection : BodyFraming

    /** The head doesn't state clearly where the body ends, for the reason in [fault]. */
    data class Unreadable(val fault: String) : BodyFraming

    companion object {
        private const val HEAD_METHOD = "HEAD"
        private val BODILESS_STATUSES = setOf(204, 304)
        private val DIGITS = Regex("[0-9]+")

        /** Framing of the response to a request with [method]. A transfer coding takes precedence over a length. */
        fun of(method: String, head: ResponseHead): BodyFraming {
            val codings = head.values("Transfer-Encoding")
            val lengths = head.values("Content-Length")
            val isChunked = codings.singleOrNull().equals("chunked", ignoreCase = true)
            return when {
                codings.isNotEmpty() && !isChunked -> Unreadable("the answer has the transfer coding $codings")

                codings.isEmpty() && lengths.isNotEmpty() && lengthOf(lengths) == null ->
                    Unreadable("the answer has the length ${lengths.joinToString(" and ") { "'$it'" }}")

                method == HEAD_METHOD || head.isInterim || head.status in BODILESS_STATUSES -> Length(0)

                isChunked -> Chunks

                else -> lengthOf(lengths)?.let(::Length) ?: Connection
            }
        }

        private fun lengthOf(values: List<String>): Long? = values.singleOrNull()?.takeIf(DIGITS::matches)?.toLongOrNull()
    }
}
