package org.godwitwick.core.forward

/**
 * Known work at one upstream.
 *
 * @property pendingPrefillMs remaining prefill, in milliseconds of engine time.
 * @property running requests that are running or queued.
 * @property shortStreams those of [running] that stream the answer to a short prompt; their pauses must stay short.
 * @property helping prefills in which the upstream helps other engines.
 * @property heldTokens KV cache used by the requests, in tokens.
 */
data class UpstreamWork(
    val pendingPrefillMs: Double = 0.0,
    val running: Int = 0,
    val shortStreams: Int = 0,
    val helping: Int = 0,
    val heldTokens: Long = 0,
) {
    /** Sum of this work and [other]. */
    operator fun plus(other: UpstreamWork) = UpstreamWork(
        pendingPrefillMs + other.pendingPrefillMs,
        running + other.running,
        shortStreams + other.shortStreams,
        helping + other.helping,
        heldTokens + other.heldTokens,
    )

    /** This work without [part]; no value becomes negative, even if work of [part] has already ended. */
    operator fun minus(part: UpstreamWork) = UpstreamWork(
        (pendingPrefillMs - part.pendingPrefillMs).coerceAtLeast(0.0),
        (running - part.running).coerceAtLeast(0),
        (shortStreams - part.shortStreams).coerceAtLeast(0),
        (helping - part.helping).coerceAtLeast(0),
        (heldTokens - part.heldTokens).coerceAtLeast(0),
    )
}
