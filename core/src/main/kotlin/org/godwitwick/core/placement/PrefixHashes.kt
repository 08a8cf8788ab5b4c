package org.godwitwick.core.placement

import org.godwitwick.core.model.CHARS_PER_TOKEN

/** Number of characters in a prefix block. */
const val BLOCK_CHARS = 4_096

/** Estimated number of tokens in a prefix block. */
const val BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN

/**
 * Computes chained 64-bit FNV-1a hashes of the blocks of a prompt: equal hashes at index i mean equal prompts up to the end of
 * block i.
 */
object PrefixHashes {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L

    /**
     * Returns the hashes of the complete blocks of [prompt]. Engines do not cache an incomplete last block, so it has no hash.
     */
    fun of(prompt: String): LongArray {
        var hash = OFFSET_BASIS
        return LongArray(prompt.length / BLOCK_CHARS) { block ->
            for (i in block * BLOCK_CHARS until (block + 1) * BLOCK_CHARS) hash = (hash xor prompt[i].code.toLong()) * PRIME
            hash
        }
    }
}
