package org.godwitwick.standins.engine

/** Memory reserved by a client; owner and expiry are information for others, the engine never frees a hold by itself. */
class EngineHold(
    val id: String,
    val requestId: String,
    val owner: String,
    val ownerIncarnation: String,
    val expiresAtMs: Long,
    val tokens: Int,
)

/** A change of the prefix cache. */
data class CacheChange(val isStored: Boolean, val hash: String)

/** KV memory of one engine: reservations of requests, holds, and a prefix cache in what is left, evicted least recently used first. */
class KvMemory(val capacityTokens: Int, private val onChange: (CacheChange) -> Unit = {}) {
    private class Block(var pins: Int = 0)

    // Insertion order is the order of use: a used block is removed and put back at the end.
    private val blocks = LinkedHashMap<String, Block>()
    private val holdsById = LinkedHashMap<String, EngineHold>()
    private var reserved = 0
    private var pinnedBlocks = 0

    /** Present holds. */
    val holds: List<EngineHold> get() = holdsById.values.toList()

    /** Tokens that can't be evicted. */
    val usedTokens: Int get() = reserved + holdsById.values.sumOf { it.tokens } + pinnedBlocks * BLOCK_TOKENS

    /** Number of cached blocks. */
    val cachedBlocks: Int get() = blocks.size

    /** The hold with [id], or null. */
    fun hold(id: String): EngineHold? = holdsById[id]

    /** Reserves [tokens] for a request, evicting cached blocks; false when they don't fit. */
    fun reserve(tokens: Int): Boolean {
        if (!makeRoom(tokens)) return false
        reserved += tokens
        return true
    }

    /** Frees a reservation. */
    fun release(tokens: Int) {
        reserved -= tokens
    }

    /** Adds [hold]; false when it doesn't fit. A repeated id changes nothing. */
    fun addHold(hold: EngineHold): Boolean {
        if (hold.id in holdsById) return true
        if (!makeRoom(hold.tokens)) return false
        holdsById[hold.id] = hold
        return true
    }

    /** Removes the hold with [id]; false when there is none. */
    fun removeHold(id: String): Boolean = holdsById.remove(id) != null

    /** Pins the longest cached prefix of [hashes] and returns its length in blocks. */
    fun pinPrefix(hashes: List<String>): Int {
        val hits = hashes.takeWhile { it in blocks }
        hits.forEach { hash ->
            val block = blocks.remove(hash)!!
            if (block.pins++ == 0) pinnedBlocks++
            blocks[hash] = block
        }
        return hits.size
    }

    /** Takes back the pins of [hashes]. */
    fun unpin(hashes: List<String>) {
        hashes.forEach { if (--blocks.getValue(it).pins == 0) pinnedBlocks-- }
    }

    /** Caches [hashes] as far as there is room, and returns how many of them are cached now. */
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
