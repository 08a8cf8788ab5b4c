package org.godwitwick.standins.run

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.godwitwick.standins.list.FakeInstanceList

/**
 * Runs all stand-ins of [set]. If one fails to start, those already started are stopped and the exception is rethrown. Instance
 * lists in the set get the rows of its other stand-ins.
 */
class RunningSet(set: StandinSet) : AutoCloseable {
    private val running = ArrayList<RunningStandin>()

    /** Line that reports that all stand-ins accept requests: [READY_PREFIX] and a JSON object from id to `ip:port`. */
    val readyLine: String get() = READY_PREFIX + JsonObject(running.associate { it.id to JsonPrimitive(it.address) })

    init {
        try {
            set.standins.forEach { running += it.start() }
        } catch (e: RuntimeException) {
            close()
            throw e
        }
        val rows = running.mapNotNull { it.row }
        running.map { it.server }.filterIsInstance<FakeInstanceList>().forEach { it.set(rows) }
    }

    override fun close() = running.forEach { it.server.close() }

    companion object {
        /** Prefix of the ready line. */
        const val READY_PREFIX = "ready "
    }
}
