package org.godwitwick.core.forward

/**
 * Known work at one upstream.
 *
 * @property pendingPrefillMs remaining prefill, in milliseconds of engine time.
 * @property running requests that are running or queued.
 * @property shortStreams those of [running] that stream the answer to a short prompt; their pauses must stay short.
 * @property helping prefills in which the upstream helps other engines.
 * @property heldTokens KV cache used by the requests, in tokens.
 * @property levels those of [running] whose level is known, by level. Streams of services without stated ranks, and those of instances
 *   that report no levels, are not among them.
 */
data class UpstreamWork(
    val pendingPrefillMs: Double = 0.0,
    val running: Int = 0,
    val shortStreams: Int = 0,
    val helping: Int = 0,
    val heldTokens: Long = 0,
    val levels: StreamLevels = StreamLevels.NONE,
) {
    /** Sum of this work and [other]. */
    operator fun plus(other: UpstreamWork) = UpstreamWork(
        pendingPrefillMs + other.pendingPrefillMs,
        running + other.running,
        shortStreams + other.shortStreams,
        helping + other.helping,
        heldTokens + other.heldTokens,
        levels + other.levels,
    )

    /** This work without [part]; no value becomes negative, even if work of [part] has already ended. */
    operator fun minus(part: UpstreamWork) = UpstreamWork(
        (pendingPrefillMs - part.pendingPrefillMs).coerceAtLeast(0.0),
        (running - part.running).coerceAtLeast(0),
        (shortStreams - part.shortStreams).coerceAtLeast(0),
        (helping - part.helping).coerceAtLeast(0),
        (heldTokens - part.heldTokens).coerceAtLeast(0),
        levels - part.levels,
    )
}
