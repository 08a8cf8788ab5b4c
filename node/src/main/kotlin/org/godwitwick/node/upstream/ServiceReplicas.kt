package org.godwitwick.node.upstream

import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import java.util.concurrent.atomic.AtomicInteger

/** Selects live replicas of plain services in round-robin order. Replicas that are leaving receive no new work. */
class ServiceReplicas(private val listed: () -> List<ListedInstance>) {
    private val nextIndex = AtomicInteger()

    /**
     * Address of the next live replica of [service], or null if there is none. Those in [tried] are used only if there is no
     * other.
     */
    fun addressOf(service: String, tried: Set<String> = emptySet()): String? {
        val live = listed().filter { it.kind == ListedKind.SERVICE && it.name == service && it.state == ListedState.LIVE }
        val candidates = live.filter { it.address !in tried }.ifEmpty { live }
        if (candidates.isEmpty()) return null
        return candidates[Math.floorMod(nextIndex.getAndIncrement(), candidates.size)].address
    }

    /** Names of all listed services. */
    fun names(): Set<String> = listed().filter { it.kind == ListedKind.SERVICE }.map { it.name }.toSet()

    /** Region in which [service] is listed, or null. The first by name if there are several, so that all instances agree. */
    fun homeRegionOf(service: String): String? =
        listed().filter { it.kind == ListedKind.SERVICE && it.name == service }.minOfOrNull { it.region }
}
