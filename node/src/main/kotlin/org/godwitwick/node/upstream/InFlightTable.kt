package org.godwitwick.node.upstream

import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

/** Tracks on which incarnation of which engine the requests of this instance run. */
internal class InFlightTable {
    /** A dispatch of a request to one incarnation of an engine; [dispatchId] is the request id in engine messages. */
    data class Entry(val engine: InstanceId, val incarnation: String, val dispatchId: String, val fingerprint: Fingerprint)

    private val entries: MutableSet<Entry> = ConcurrentHashMap.newKeySet()

    fun add(entry: Entry) {
        entries += entry
    }

    fun remove(entry: Entry) {
        entries -= entry
    }

    /** Entries of the given incarnation of [engine]. */
    fun entriesOn(engine: InstanceId, incarnation: String): List<Entry> =
        entries.filter { it.engine == engine && it.incarnation == incarnation }
}
