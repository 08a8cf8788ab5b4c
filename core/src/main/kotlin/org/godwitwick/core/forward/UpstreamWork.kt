package org.godwitwick.core.forward

/**
 * Work at one upstream, as far as it is known.
 *
 * @property pendingReadMs reading that has not ended, in milliseconds of the engine's time.
 * @property running requests that run or wait there.
 * @property shortStreams those of them that stream the answer to a short prompt, whose pauses must stay short.
 * @property helping reads of other engines' prompts.
 * @property heldTokens KV memory that the requests take.
 */
data class UpstreamWork(
    val pendingReadMs: Double = 0.0,
    val running: Int = 0,
    val shortStreams: Int = 0,
    val helping: Int = 0,
    val heldTokens: Long = 0,
) {
    /** This work and [other] together. */
    operator fun plus(other: UpstreamWork) = UpstreamWork(
        pendingReadMs + other.pendingReadMs,
        running + other.running,
        shortStreams + other.shortStreams,
        helping + other.helping,
        heldTokens + other.heldTokens,
    )

    /** This work without [part] of it; a part that has ended meanwhile leaves nothing below zero. */
    operator fun minus(part: UpstreamWork) = UpstreamWork(
        (pendingReadMs - part.pendingReadMs).coerceAtLeast(0.0),
        (running - part.running).coerceAtLeast(0),
        (shortStreams - part.shortStreams).coerceAtLeast(0),
        (helping - part.helping).coerceAtLeast(0),
        (heldTokens - part.heldTokens).coerceAtLeast(0),
    )
}
