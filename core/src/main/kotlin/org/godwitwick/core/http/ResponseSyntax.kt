package org.godwitwick.core.http

/** Grammar of the lines of a response head (RFC 9112), without their line ends. */
internal object ResponseSyntax {
    /** First characters of each response. */
    const val START = "HTTP/1."
    private const val STATUS_PATTERN = """HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\r\n\u0000]*)?"""
    private val STATUS_LINE = Regex(STATUS_PATTERN)

    /** A status line up to its status code, somewhere in a line. */
    private val STATUS_LINE_START = Regex("""HTTP/1\.[01] [1-9][0-9]{2}(?= |$)""")
    private const val TOKEN_CHARS = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
    private val FORBIDDEN = charArrayOf('\r', '\n', '\u0000')

    /** Returns the status in [line], or null if it isn't a status line. */
    fun statusOf(line: String): Int? {
        val match = STATUS_LINE.matchEntire(line) ?: return null
        return match.groupValues[1].toInt().takeIf { startOfStatusLine(line, from = 1) < 0 }
    }

    /** Returns name and value of the field in [line], or null if it isn't one, or if a status line begins inside it. */
    fun fieldOf(line: String): Pair<String, String>? {
        val colon = line.indexOf(':')
        if (colon <= 0 || (0 until colon).any { line[it] !in TOKEN_CHARS }) return null
        val value = line.substring(colon + 1)
        if (value.indexOfAny(FORBIDDEN) >= 0 || startOfStatusLine(value) >= 0) return null
        return line.substring(0, colon) to value.trim(' ', '\t')
    }

    /** Returns the index at or behind [from] at which the last status line in [line] begins, or -1. */
    fun startOfStatusLine(line: String, from: Int = 0): Int {
        if (line.indexOf(START, from) < 0) return -1
        return STATUS_LINE_START.findAll(line, from).lastOrNull()?.range?.first ?: -1
    }
}
