package org.godwitwick.core.forward

/**
 * Settings of [RankedPlacementRule] and [RankedPrefillRule]. Those without another reason gave the highest credit of the worst kind in the
 * mix `rbq-small` of `lab burst`.
 *
 * @property maxEngines maximum number of engines for one prompt: the first and the 16 helpers that the platform allows.
 * @property streamShare fraction of an engine's slots that streams fill before one more engine is shared; the rest is left for arrivals
 *   that are not known yet.
 * @property spareShare fraction of all engines that each level shares beyond that, for arrivals at other instances that are not reported yet.
 *   With one spare engine in a fleet of 78, the arrivals of half a second queued at a few engines.
 * @property sampleSize number of shared engines that are compared for a short prompt.
 * @property maxCompared number of engines that are compared if a short prompt would be late on all of the first sample. If a tenth of the
 *   engines is free, all of 48 are busy in one of 150 cases.
 * @property queuedRequestMs cost of each request that waits for a slot: the time in which a slot becomes free.
 * @property runningRequestMs cost of a running request, in milliseconds of prefill.
 * @property targetShare fraction of the remaining time that a prefill may take by its forecast. Engines are slower than forecast while they
 *   also decode, and a prompt that arrives before the report of this one may delay it.
 * @property partShare fraction of the largest harmless part that is tried first, so that two parts fit into one pass.
 * @property stallShare fraction of the target pause of the own level that pending prefill may take; a pass also has to decode.
 * @property besideShare the same fraction for streams that outrank the prompt.
 * @property besideMs wait that counts as much as the presence of such streams.
 * @property positionMs wait that counts as much as the whole length of the order of the engines.
 * @property stalledStreamMs wait that counts as much as a stream of the same level that pauses beyond its target, in milliseconds.
 * @property lastChanceMs time before the latest start in time at which a prompt begins although it delays streams of its level.
 * @property idleBacklogMs backlog up to which engines count as idle.
 * @property answerMs time for the answer after the first event, in milliseconds.
 * @property lastCallMs time before the latest possible start at which a late prompt begins in any case, in milliseconds.
 * @property singleMemoryShare fraction of an engine's KV cache up to which a request is held by a single engine.
 * @property partMemoryShare largest fraction of an engine's KV cache that a part of a larger request takes.
 * @property maxReserveShare upper bound of the fraction of the engines that is left to lower ranks for the memory of their largest prompt.
 * @property maxStreamReserveShare upper bound of the fraction of the engines that is left to lower ranks for the number of their streams.
 */
data class RankedPlacementSettings(
    val maxEngines: Int = 17,
    val streamShare: Double = 0.6,
    val spareShare: Double = 0.125,
    val sampleSize: Int = 3,
    val maxCompared: Int = 48,
    val queuedRequestMs: Double = 200.0,
    val runningRequestMs: Double = 10.0,
    val targetShare: Double = 0.6,
    val stalledStreamMs: Double = 4_000.0,
    val idleBacklogMs: Double = 100.0,
    val answerMs: Double = 1_000.0,
    val lastCallMs: Double = 1_500.0,
    val singleMemoryShare: Double = 0.8,
    val partMemoryShare: Double = 0.6,
    val positionMs: Double = 500.0,
    val partShare: Double = 0.5,
    val stallShare: Double = 0.5,
    val lastChanceMs: Double = 500.0,
    val besideShare: Double = 0.5,
    val besideMs: Double = 100.0,
    val maxReserveShare: Double = 0.5,
    val maxStreamReserveShare: Double = 0.25,
)
