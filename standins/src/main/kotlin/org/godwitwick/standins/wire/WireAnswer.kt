package org.godwitwick.standins.wire

/** How an answer states where its body ends; [CONNECTION] states nothing. */
enum class BodyEnd { LENGTH, CHUNKS, CONNECTION }

/**
 * An answer as a server writes it.
 *
 * @property fields header fields without the one for [bodyEnd].
 * @property fieldOrder indices of [fields], and its size for the field for [bodyEnd], in the order in which they are written.
 * @property body one character for each byte.
 */
class WireAnswer(
    val status: Int,
    val fields: List<String>,
    val body: String,
    val bodyEnd: BodyEnd,
    val fieldOrder: List<Int> = List(fields.size + 1) { it },
) {
    private val endField = when (bodyEnd) {
        BodyEnd.LENGTH -> "Content-Length: ${body.length}"
        BodyEnd.CHUNKS -> "Transfer-Encoding: chunked"
        BodyEnd.CONNECTION -> null
    }
    private val content = when (bodyEnd) {
        BodyEnd.CHUNKS -> body.chunked(CHUNK_BYTES).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" } + "0\r\n\r\n"
        else -> body
    }
    private val head = "HTTP/1.1 $status Text\r\n" +
        fieldOrder.mapNotNull { fields.getOrElse(it) { endField } }.joinToString("") { "$it\r\n" } + "\r\n"

    /** Number of bytes of the head with its empty line. */
    val headBytes: Int get() = head.length

    /** All bytes. */
    val bytes: ByteArray get() = (head + content).toByteArray(Charsets.ISO_8859_1)

    private companion object {
        const val CHUNK_BYTES = 100_000
        const val HEX = 16
    }
}
