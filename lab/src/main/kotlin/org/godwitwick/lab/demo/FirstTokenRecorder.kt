package org.godwitwick.lab.demo

import java.util.concurrent.ConcurrentHashMap

/** Records when the first token of each request was seen on an engine's connection. */
class FirstTokenRecorder {
    private val firstNanos = ConcurrentHashMap<String, Long>()

    /** [System.nanoTime] at the first token of [requestId], or null if none was seen or [requestId] is null. */
    fun firstTokenNanos(requestId: String?): Long? = requestId?.let { firstNanos[it] }

    /** Creates an observer for one connection; see [org.godwitwick.lab.process.TcpForwarder]. */
    fun newObserver(): (String, Long) -> Unit {
        // A block may end in the middle of an event, so the incomplete last line is kept.
        var rest = ""
        return { text, nanos ->
            val lines = (rest + text).split('\n')
            lines.forEach { line -> firstToken.find(line)?.let { firstNanos.putIfAbsent(it.groupValues[1], nanos) } }
            rest = lines.last()
        }
    }

    private companion object {
        // An engine receives the caller's request id followed by a dot and the number of the dispatch.
        val firstToken = Regex(""""request_id":"([^"]+)\.\d+".*"index":0\b""")
    }
}
