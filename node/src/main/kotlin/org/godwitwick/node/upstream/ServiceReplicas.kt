package org.godwitwick.node.upstream

import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import java.util.concurrent.atomic.AtomicInteger

/** Chooses replicas of plain services in turn; leaving ones get no new work. */
class ServiceReplicas(private val listed: () -> List<ListedInstance>) {
    private val turn = AtomicInteger()

    /** Address of the next live replica of [service], or null. Those in [tried] are chosen only when there is no other. */
    fun addressOf(service: String, tried: Set<String> = emptySet()): String? {
        val live = listed().filter { it.kind == ListedKind.SERVICE && it.name == service && it.state == ListedState.LIVE }
        val candidates = live.filter { it.address !in tried }.ifEmpty { live }
        if (candidates.isEmpty()) return null
        return candidates[Math.floorMod(turn.getAndIncrement(), candidates.size)].address
    }

    /** Names of all listed services. */
    fun names(): Set<String> = listed().filter { it.kind == ListedKind.SERVICE }.map { it.name }.toSet()

    /** Region in which the list shows [service], or null. The first by name when there are several, so that all instances agree. */
    fun homeRegionOf(service: String): String? =
        listed().filter { it.kind == ListedKind.SERVICE && it.name == service }.minOfOrNull { it.region }
}
