package org.godwitwick.core.placement

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.PromptClass

/**
 * Load of one engine, as read by the instance that polls it.
 *
 * @property incarnation identifier of the engine process; changes on restart.
 * @property atMs time of the reading on the clock of the polling instance.
 * @property queuedPrefillTokens prefill tokens not yet computed, by priority in the order of [PromptClass].
 * @property freeKvTokens KV memory that is free or holds only evictable cache.
 * @property kvCapacityTokens total KV memory of the engine.
 * @property prefillTokensPerSecond prefill speed of the engine.
 * @property isLeaving whether the engine is shutting down and must receive no new work.
 */
@Serializable
data class LoadReport(
    val incarnation: String,
    val atMs: Long,
    val queuedPrefillTokens: List<Long>,
    val freeKvTokens: Long,
    val kvCapacityTokens: Int,
    val prefillTokensPerSecond: Double,
    val isLeaving: Boolean = false,
    val heldTokens: Long = 0,
)
