package org.godwitwick.core.placement

import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.PromptClass

/** Work tokens that one generated token is charged as, against one for a prefilled token. */
const val DECODE_WORK_FACTOR = 4

/** What placement needs to know of a request. [blocks] are its chained prefix hashes. */
class PlacementRequest(val promptTokens: Int, val maxTokens: Int, val promptClass: PromptClass, val blocks: LongArray) {
    /** KV memory that the request may need, in tokens. */
    val kvTokens: Long get() = promptTokens.toLong() + maxTokens

    /** Work that is left when [cachedBlocks] blocks of the prompt are cached. The last token is always computed. */
    fun workWith(cachedBlocks: Int): WorkEstimate =
        WorkEstimate((promptTokens.toLong() - cachedBlocks.toLong() * BLOCK_TOKENS).coerceAtLeast(1), maxTokens.toLong())

    companion object {
        /** The placement view of [request]; hashes the prompt. */
        fun of(request: GenerateRequest): PlacementRequest =
            PlacementRequest(request.promptTokens, request.maxTokens, request.promptClass, PrefixHashes.of(request.prompt))
    }
}

/** Estimated work of a request. */
data class WorkEstimate(val prefillTokens: Long, val decodeTokens: Long) {
    /** The unit in which organisations are charged. */
    val workTokens: Long get() = prefillTokens + DECODE_WORK_FACTOR * decodeTokens
}
