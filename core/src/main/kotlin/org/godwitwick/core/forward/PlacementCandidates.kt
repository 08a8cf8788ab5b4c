package org.godwitwick.core.forward

/**
 * The upstreams of a service among which a request is placed, in the order of [UpstreamList]. A view of an upstream is built only
 * when the rule looks at it.
 */
interface PlacementCandidates {
    /** Number of upstreams. */
    val size: Int

    /** Number of short streams at all upstreams of the service, including those that are excluded from this placement. */
    val shortStreams: Int

    /** Builds the view of the upstream at [index], from 0 until [size]. */
    fun viewAt(index: Int): UpstreamView
}

/** Candidates that have been viewed already, in any order. */
class ViewedCandidates(views: Collection<UpstreamView>) : PlacementCandidates {
    private val ordered = views.sortedWith { a, b -> UpstreamList.ORDER.compare(a.entry, b.entry) }

    override val size: Int get() = ordered.size
    override val shortStreams: Int = ordered.sumOf { it.work.shortStreams }

    override fun viewAt(index: Int): UpstreamView = ordered[index]
}
