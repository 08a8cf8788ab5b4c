package org.godwitwick.node.peer

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Logs which formats of later versions are ignored, at most one line for each peer in [PERIOD_MS]. */
internal class UnknownFormatLog(private val monotonicMs: () -> Long) {
    private val reportedMs = ConcurrentHashMap<String, Long>()

    /** Reports that something of [format] was received from [peer] and ignored. */
    fun report(peer: String, format: String) {
        val nowMs = monotonicMs()
        var isDue = false
        reportedMs.compute(peer) { _, lastMs ->
            isDue = lastMs == null || nowMs - lastMs >= PERIOD_MS
            if (isDue) nowMs else lastMs
        }
        if (isDue) log.warn("peer: {} from {} ignored, as this version does not know it", format, peer)
    }

    private companion object {
        const val PERIOD_MS = 60_000L
        val log = LoggerFactory.getLogger(UnknownFormatLog::class.java)
    }
}
