package org.godwitwick.node.peer

/**
 * Bounds of the peer transport.
 *
 * @property maxFrameBytes largest frame that is sent or accepted.
 * @property queueFrames frames that wait for one connection; further ones are refused.
 * @property connectTimeoutMs bound for opening a connection.
 * @property silentMs a connection that delivers nothing for this long while something is unanswered is closed.
 * @property pingMs period in which a connection is checked and, when something is unanswered, pinged.
 * @property idleMs a connection without a frame for this long is closed.
 * @property maxConnections connections that are accepted at a time.
 * @property maxSkewMs largest accepted difference between the clocks of two instances.
 */
data class PeerLimits(
    val maxFrameBytes: Int = 4 * 1024 * 1024,
    val queueFrames: Int = 256,
    val connectTimeoutMs: Long = 1_000,
    val silentMs: Long = 2_000,
    val pingMs: Long = 500,
    val idleMs: Long = 60_000,
    val maxConnections: Int = 1_024,
    val maxSkewMs: Long = 60_000,
    val handlerThreads: Int = 8,
    val handlerQueue: Int = 1_024,
)
