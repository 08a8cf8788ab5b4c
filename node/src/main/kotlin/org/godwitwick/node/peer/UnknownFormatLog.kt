package org.godwitwick.node.peer

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Logs which formats of later versions are ignored, at most one line for each peer in [PERIOD_MS]. */
internal class UnknownFormatLog(private val monotonicMs: () -> Long) {
    private val reportedMs = ConcurrentHashMap<String, Long>()

    /** Reports that something of [format] was received from [peer] and ignored. */
    fun report(peer: String, format: String) {
        val nowMs = monotonicMs()
        reportedMs.values.removeIf { nowMs - it >= PERIOD_MS }
        if (reportedMs.putIfAbsent(peer, nowMs) != null) return
        log.warn("peer: {} from {} ignored, as this version does not know it", format, peer)
    }

    private companion object {
        const val PERIOD_MS = 60_000L
        val log = LoggerFactory.getLogger(UnknownFormatLog::class.java)
    }
}
