package org.godwitwick.standins.engine

/**
 * KV cache capacity that a client has reserved. [owner] and [expiresAtMs] are information for clients only: the engine frees a
 * hold only on request.
 */
class EngineHold(
    val id: String,
    val requestId: String,
    val owner: String,
    val ownerIncarnation: String,
    val expiresAtMs: Long,
    val tokens: Int,
)

/** A block with [hash] was stored in the prefix cache or removed from it. */
data class CacheChange(val isStored: Boolean, val hash: String)

/**
 * KV cache of one engine. Reservations of requests and holds have a claim on capacity; the rest caches prefix blocks, which are
 * evicted least recently used first.
 */
class KvCache(val capacityTokens: Int, private val onChange: (CacheChange) -> Unit = {}) {
    private class Block(var pins: Int = 0)

    // Ordered by last use, oldest first: a block that is used is removed and inserted again.
    private val blocks = LinkedHashMap<String, Block>()
    private val holdsById = LinkedHashMap<String, EngineHold>()
    private var reservedTokens = 0
    private var pinnedBlocks = 0

    /** Current holds, in order of creation. */
    val holds: List<EngineHold> get() = holdsById.values.toList()

    /** Number of tokens that cannot be evicted: reservations, holds and pinned blocks. */
    val usedTokens: Int get() = reservedTokens + holdsById.values.sumOf { it.tokens } + pinnedBlocks * BLOCK_TOKENS

    /** Number of cached blocks, pinned or not. */
    val cachedBlocks: Int get() = blocks.size

    /** The hold with [id], or null if there is none. */
    fun hold(id: String): EngineHold? = holdsById[id]

    /** Reserves [tokens] for a request, evicting cached blocks if needed; returns false if they do not fit. */
    fun reserve(tokens: Int): Boolean {
        if (!makeRoom(tokens)) return false
        reservedTokens += tokens
        return true
    }

    /** Frees [tokens] reserved with [reserve]. */
    fun release(tokens: Int) {
        reservedTokens -= tokens
    }

    /** Adds [hold], evicting cached blocks if needed; returns false if it does not fit. If its id exists, nothing changes. */
    fun addHold(hold: EngineHold): Boolean {
        if (hold.id in holdsById) return true
        if (!makeRoom(hold.tokens)) return false
        holdsById[hold.id] = hold
        return true
    }

    /** Removes the hold with [id]; returns false if there is none. */
    fun removeHold(id: String): Boolean = holdsById.remove(id) != null

    /** Pins the longest cached prefix of [hashes] against eviction and returns its length in blocks. */
    fun pinPrefix(hashes: List<String>): Int {
        val hits = hashes.takeWhile { it in blocks }
        hits.forEach { hash ->
            val block = blocks.remove(hash)!!
            if (block.pins++ == 0) pinnedBlocks++
            blocks[hash] = block
        }
        return hits.size
    }

    /** Removes one pin from each block in [hashes]. */
    fun unpin(hashes: List<String>) {
        hashes.forEach { if (--blocks.getValue(it).pins == 0) pinnedBlocks-- }
    }

    /** Caches the blocks [hashes] in order until one does not fit, and returns the number that are cached. */
    fun store(hashes: List<String>): Int {
        hashes.forEachIndexed { index, hash ->
            if (hash in blocks) return@forEachIndexed
            if (!makeRoom(BLOCK_TOKENS)) return index
            blocks[hash] = Block()
            onChange(CacheChange(true, hash))
        }
        return hashes.size
    }

    private fun makeRoom(tokens: Int): Boolean {
        val evictable = blocks.size - pinnedBlocks
        val free = capacityTokens - usedTokens - evictable * BLOCK_TOKENS
        val excess = tokens - free
        if (excess <= 0) return true
        val needed = (excess + BLOCK_TOKENS - 1) / BLOCK_TOKENS
        if (needed > evictable) return false
        evict(needed)
        return true
    }

    private fun evict(count: Int) {
        val victims = blocks.entries.asSequence().filter { it.value.pins == 0 }.take(count).map { it.key }.toList()
        victims.forEach {
            blocks.remove(it)
            onChange(CacheChange(false, it))
        }
    }
}
