package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamList

/**
 * Number of short streams at all upstreams of each service. The owner of the streams reports each change, so that a placement does
 * not add up the streams of the whole fleet. Not thread safe.
 *
 * @param all returns the streams of each upstream that has some, by the hash of its id; read when the upstreams of a service change.
 */
internal class ShortStreamSums(private val all: () -> Sequence<Pair<Int, Int>>) {
    private class Sum(var upstreams: UpstreamList, var streams: Int)

    private val sumsByService = HashMap<String, Sum>()

    /** Adds [change] to the streams at the upstream whose id has the hash [hash]. */
    fun add(hash: Int, change: Int) {
        if (change == 0) return
        sumsByService.values.forEach { if (it.upstreams.hasHash(hash)) it.streams += change }
    }

    /** Adds up the streams again, after all of them were replaced. */
    fun refresh() = sumsByService.values.forEach { it.streams = streamsAt(it.upstreams) }

    /** Number of streams at [upstreams], which are all of one service; those excluded from the list count as well. */
    fun at(upstreams: UpstreamList): Int {
        val service = upstreams.firstOrNull()?.service ?: return 0
        val sum = sumsByService.getOrPut(service) { Sum(upstreams, streamsAt(upstreams)) }
        if (!sum.upstreams.hasSameIds(upstreams)) sum.streams = streamsAt(upstreams)
        sum.upstreams = upstreams
        return sum.streams
    }

    private fun streamsAt(upstreams: UpstreamList): Int = all().sumOf { (hash, streams) ->
        if (upstreams.hasHash(hash)) streams else 0
    }
}
