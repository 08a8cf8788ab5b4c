package org.godwitwick.core.placement

import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.PromptClass

/** Work tokens charged for one generated token; a prefilled token is charged as one. */
const val DECODE_WORK_FACTOR = 4

/**
 * The properties of a request that placement depends on.
 *
 * @property maxTokens largest number of tokens to generate.
 * @property blocks chained hashes of the prompt's blocks, see [PrefixHashes].
 */
class PlacementRequest(val promptTokens: Int, val maxTokens: Int, val promptClass: PromptClass, val blocks: LongArray) {
    /** Largest amount of KV memory that the request can need, in tokens. */
    val kvTokens: Long get() = promptTokens.toLong() + maxTokens

    /** Returns the work that remains if [cachedBlocks] blocks of the prompt are cached. The last token is always computed. */
    fun remainingWork(cachedBlocks: Int): WorkEstimate =
        WorkEstimate((promptTokens.toLong() - cachedBlocks.toLong() * BLOCK_TOKENS).coerceAtLeast(1), maxTokens.toLong())

    companion object {
        /** Creates the placement request for [request]; hashes the whole prompt. */
        fun of(request: GenerateRequest): PlacementRequest =
            PlacementRequest(request.promptTokens, request.maxTokens, request.promptClass, PrefixHashes.of(request.prompt))
    }
}

/** Estimated work of a request, in tokens. */
data class WorkEstimate(val prefillTokens: Long, val decodeTokens: Long) {
    /** Work in the unit in which organisations are charged. */
    val workTokens: Long get() = prefillTokens + DECODE_WORK_FACTOR * decodeTokens
}
