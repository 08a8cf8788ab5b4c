package org.godwitwick.lab.demo

import java.util.concurrent.ConcurrentHashMap

/** Notes when engines sent the first token of each request, as seen on their connections. */
class TokenTap {
    private val firstNanos = ConcurrentHashMap<String, Long>()

    /** Time of the first token of [requestId] on the scale of [System.nanoTime], or null. */
    fun firstTokenNanos(requestId: String?): Long? = requestId?.let { firstNanos[it] }

    /** The observer of one connection. */
    fun connection(): (String, Long) -> Unit {
        // An event may arrive in two blocks, so the unfinished line is kept.
        var rest = ""
        return { text, nanos ->
            val lines = (rest + text).split('\n')
            lines.forEach { line -> firstToken.find(line)?.let { firstNanos.putIfAbsent(it.groupValues[1], nanos) } }
            rest = lines.last()
        }
    }

    private companion object {
        // An engine sees the caller's request id with the number of the dispatch behind it.
        val firstToken = Regex(""""request_id":"([^"]+)\.\d+".*"index":0\b""")
    }
}
