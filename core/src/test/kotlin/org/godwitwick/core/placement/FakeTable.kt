package org.godwitwick.core.placement

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.PromptClass

/** In-memory [ReplicaTable] that counts the rows read by a decision. */
class FakeTable(private val loads: MutableList<ReplicaLoad>, val index: CacheIndex = CacheIndex()) : ReplicaTable {
    var touchedRows = 0

    override val local = IntArray(loads.size) { it }
    override val remote = IntArray(0)

    override fun replica(slot: Int): ReplicaView {
        touchedRows++
        return ReplicaView(slot, InstanceId("e$slot"), "", 1.0, loads[slot])
    }

    override fun cachedBlocks(slot: Int, blocks: LongArray) = index.cachedBlocks(slot, blocks)

    override fun longestHolders(blocks: LongArray) = index.longestHolders(blocks)

    fun dispatch(slot: Int, work: SentWork) {
        loads[slot] = loads[slot].withDispatch(work)
    }
}

fun idleReport(atMs: Long, queuedTokens: Long = 0, kvTokens: Int = 400_000) =
    LoadReport("i1", atMs, listOf(queuedTokens, 0, 0, 0), kvTokens.toLong(), kvTokens, 20_000.0)

fun shortRequest(blocks: LongArray = LongArray(0), tokens: Int = 2_000) = PlacementRequest(tokens, 100, PromptClass.SHORT, blocks)
