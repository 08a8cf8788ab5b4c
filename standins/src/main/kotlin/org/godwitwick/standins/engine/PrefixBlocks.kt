package org.godwitwick.standins.engine

import java.security.MessageDigest

/** Number of characters in one prefix block. */
const val BLOCK_CHARS = 4_096

/** Number of tokens in one prefix block. */
const val BLOCK_TOKENS = 1_024

internal const val CHARS_PER_TOKEN = 4

private const val HASH_BYTES = 8

/** Length of [text] in tokens, rounded up. */
internal fun tokenCountOf(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

/**
 * Chained hashes of the full blocks of [prompt]. Each is the first 8 bytes, in hex, of SHA-256 over the previous hash's hex text
 * and the block.
 */
fun prefixHashes(prompt: String): List<String> {
    val digest = MessageDigest.getInstance("SHA-256")
    var previous = ""
    return List(prompt.length / BLOCK_CHARS) { block ->
        digest.update(previous.toByteArray())
        digest.update(prompt.substring(block * BLOCK_CHARS, (block + 1) * BLOCK_CHARS).toByteArray())
        previous = digest.digest().take(HASH_BYTES).joinToString("") { "%02x".format(it) }
        previous
    }
}

private const val HASH_FACTOR = 31
private const val TOKEN_RADIX = 36
private const val TOKEN_VALUES = 46_656

/** Hash of a prompt from the [hash] of its beginning and the [segment] that follows; the hash of an empty beginning is 0. */
internal fun extendHash(hash: Int, segment: String): Int = segment.fold(hash) { sum, char -> HASH_FACTOR * sum + char.code }

/** Token [index] of the answer to a prompt with [promptHash]. All engines generate the same one; it differs between prompts. */
internal fun tokenText(promptHash: Int, index: Int): String =
    "t$index." + Math.floorMod(promptHash + index * HASH_FACTOR, TOKEN_VALUES).toString(TOKEN_RADIX) + " "

/** All [maxTokens] tokens of the answer to [prompt], for comparison with what a caller received. */
fun expectedTokens(prompt: String, maxTokens: Int): List<String> {
    val hash = extendHash(0, prompt)
    return List(maxTokens) { tokenText(hash, it) }
}
