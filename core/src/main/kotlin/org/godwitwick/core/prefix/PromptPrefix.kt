package org.godwitwick.core.prefix

/**
 * A beginning of a prompt that other prompts may have as well.
 *
 * @property key identifies the text from the start of the prompt to the end of this prefix; equal keys mean equal text.
 * @property tokens length of the prefix, in tokens.
 */
data class PromptPrefix(val key: Int, val tokens: Long) {
    companion object {
        /**
         * The prefixes of a prompt whose first parts have the given ids and lengths in tokens, shortest first. A key covers all parts up
         * to its own, because the KV cache of a part depends on what precedes it.
         */
        fun chainOf(parts: List<Pair<String, Long>>): List<PromptPrefix> {
            var key = 1
            var tokens = 0L
            return parts.map { (id, length) ->
                key = HASH_FACTOR * key + id.hashCode()
                tokens += length
                PromptPrefix(key, tokens)
            }
        }

        private const val HASH_FACTOR = 31
    }
}
