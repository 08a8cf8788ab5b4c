package org.godwitwick.node.upstream

import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

/** Which requests of this instance run on which incarnation of which engine. */
internal class InFlightTable {
    /** One request on one incarnation of an engine. */
    data class Entry(val engine: InstanceId, val incarnation: String, val dispatchId: String, val fingerprint: Fingerprint)

    private val entries: MutableSet<Entry> = ConcurrentHashMap.newKeySet()

    fun enter(entry: Entry) {
        entries += entry
    }

    fun leave(entry: Entry) {
        entries -= entry
    }

    /** Requests on the given incarnation of [engine]. */
    fun on(engine: InstanceId, incarnation: String): List<Entry> =
        entries.filter { it.engine == engine && it.incarnation == incarnation }
}
