package org.godwitwick.core.placement

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.PromptClass

/**
 * One engine's load as its watcher read it.
 *
 * @property incarnation changes when the engine restarts.
 * @property atMs time of the reading on the watcher's clock.
 * @property queuedPrefillTokens prefill tokens not yet computed, by priority in the order of [PromptClass].
 * @property freeKvTokens KV memory that is free or holds only evictable cache.
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
