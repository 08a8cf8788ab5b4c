package org.godwitwick.node.peer

/**
 * Limits of the peer transport.
 *
 * @property maxFrameBytes largest frame that is sent or accepted.
 * @property queueFrames number of frames that may be queued for one connection; further ones are refused.
 * @property connectTimeoutMs timeout for opening a connection.
 * @property silentMs time without a received frame, while a frame is unanswered, after which a connection is closed.
 * @property pingMs period in which a connection is checked and, while a frame is unanswered, pinged.
 * @property idleMs time without a frame after which a connection is closed; the opening side closes it at half of this.
 * @property maxConnections largest number of accepted connections that are open at the same time.
 * @property maxSkewMs largest accepted difference between the clocks of two instances.
 * @property handlerThreads number of threads that run message handlers.
 * @property handlerQueue number of received messages that may wait for a handler thread; further messages are dropped, and
 *   requests are answered with [FrameKind.NO_ANSWER].
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
