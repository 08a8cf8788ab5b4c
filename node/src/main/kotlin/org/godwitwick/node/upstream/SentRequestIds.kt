package org.godwitwick.node.upstream

/**
 * The ids of the requests that were sent on one connection. Holds their hashes, so that the memory does not depend on the length of the
 * ids; two ids with one hash cost a new connection at the most. Used by one thread at a time.
 */
internal class SentRequestIds {
    private val hashes by lazy { IntArray(MAX_REQUESTS) }
    private var count = 0

    /** Whether no further id can be held. */
    val isFull: Boolean get() = count == MAX_REQUESTS

    operator fun contains(id: String): Boolean {
        val hash = id.hashCode()
        return (0 until count).any { hashes[it] == hash }
    }

    /** Adds [id], unless this is full. */
    fun add(id: String) {
        if (!isFull) hashes[count++] = id.hashCode()
    }

    companion object {
        /** Number of requests after which a connection is replaced. Bounds the memory to 2 KB a connection. */
        const val MAX_REQUESTS = 500
    }
}
