package org.godwitwick.standins.list

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.bodyText
import org.godwitwick.standins.sendJson
import java.util.concurrent.ConcurrentLinkedDeque

/**
 * Stand-in for the platform's instance list. `PUT /instances` or [set] replaces the rows; readers see the change [lagMs]
 * milliseconds later.
 */
class FakeInstanceList(port: Int, private val lagMs: Long = 0, private val nowMs: () -> Long = System::currentTimeMillis) :
    AutoCloseable {
    private data class Version(val setAtMs: Long, val rows: JsonArray)

    private val versions = ConcurrentLinkedDeque(listOf(Version(0, JsonArray(emptyList()))))
    private val server = FakeServer(port, WORKER_THREADS) { exchange ->
        when (exchange.requestMethod.toString()) {
            "GET" -> exchange.sendJson("{\"instances\":${visibleRows(nowMs())}}")

            "PUT" -> {
                versions.addLast(
                    Version(nowMs(), Json.parseToJsonElement(exchange.bodyText()).jsonObject.getValue("instances").jsonArray),
                )
                exchange.sendJson("{}")
            }

            else -> exchange.sendJson("{}", METHOD_NOT_ALLOWED)
        }
    }

    /** `ip:port` of the stand-in. */
    val address: String get() = server.address

    /** Replaces all rows. */
    fun set(rows: List<JsonObject>) {
        versions.addLast(Version(nowMs(), JsonArray(rows)))
    }

    /** Sets the state of the row with [id] to `leaving`. */
    fun markLeaving(id: String) {
        val rows = versions.last.rows.map { it.jsonObject }.map { row ->
            if (row["id"]?.jsonPrimitive?.content ==
                id
            ) {
                JsonObject(row + ("state" to Json.parseToJsonElement("\"leaving\"")))
            } else {
                row
            }
        }
        set(rows)
    }

    private fun visibleRows(nowMs: Long): JsonArray = versions.last { it.setAtMs == 0L || it.setAtMs + lagMs <= nowMs }.rows

    override fun close() {
        server.close()
    }

    private companion object {
        const val WORKER_THREADS = 8
        const val METHOD_NOT_ALLOWED = 405
    }
}
