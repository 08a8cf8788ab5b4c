package org.godwitwick.standins.run

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.list.FakeInstanceList
import org.godwitwick.standins.log.FakeLog
import org.godwitwick.standins.service.FakeService
import org.godwitwick.standins.weights.FakeWeightStore

/** Contents of a set file: the stand-ins that one process runs. */
@Serializable
data class StandinSet(val standins: List<StandinSpec>)

/** Settings of one stand-in; the field `kind` of the JSON object selects the implementation. */
@Serializable
sealed interface StandinSpec {
    /** Id of the stand-in in the ready line and on the instance list. */
    val id: String

    /** Starts the stand-in. */
    fun start(): RunningStandin
}

/**
 * A running stand-in.
 *
 * @property address `ip:port` of the stand-in.
 * @property server stops the stand-in when closed.
 * @property row its row on the instance list, or null if it is not listed.
 */
class RunningStandin(val id: String, val address: String, val server: AutoCloseable, val row: JsonObject? = null)

/** Location that the instance list states for a stand-in. */
@Serializable
data class Location(val region: String, val dataCentre: String, val rack: String = "")

/** Settings of a [FakeEngine] that serves [model]. */
@Serializable
@SerialName("engine")
data class EngineStandin(
    override val id: String,
    val model: String,
    val location: Location,
    val port: Int = 0,
    val prefillTokensPerSecond: Double = 20_000.0,
    val tokenGapMs: Double = 25.0,
    val timeScale: Double = 1.0,
) : StandinSpec {
    override fun start(): RunningStandin {
        val engine = FakeEngine(
            port,
            prefillTokensPerSecond = prefillTokensPerSecond,
            tokenGapMs = tokenGapMs,
            timeScale = timeScale,
        )
        return RunningStandin(id, engine.address, engine, listRow("engine", id, model, engine.address, location))
    }
}

/** Settings of a [FakeInstanceList]. It starts with the rows of the set's other stand-ins; `PUT /instances` replaces them. */
@Serializable
@SerialName("list")
data class ListStandin(override val id: String = "list", val port: Int = 0, val lagMs: Long = 0) : StandinSpec {
    override fun start(): RunningStandin = FakeInstanceList(port, lagMs).let { RunningStandin(id, it.address, it) }
}

/** Settings of a [FakeLog]. */
@Serializable
@SerialName("log")
data class LogStandin(override val id: String = "log", val port: Int = 0) : StandinSpec {
    override fun start(): RunningStandin = FakeLog(port).let { RunningStandin(id, it.address, it) }
}

/** Settings of a [FakeService]: a plain service, such as a booking desk, that counts executed calls. */
@Serializable
@SerialName("service")
data class ServiceStandin(
    override val id: String,
    val service: String,
    val location: Location,
    val port: Int = 0,
    val checksFencing: Boolean = false,
) : StandinSpec {
    override fun start(): RunningStandin = FakeService(port, checksFencing).let {
        RunningStandin(id, it.address, it, listRow("service", id, service, it.address, location))
    }
}

/** Settings of a [FakeWeightStore]. */
@Serializable
@SerialName("weights")
data class WeightsStandin(
    override val id: String = "weights",
    val port: Int = 0,
    val loadsPerMinute: Int = 60,
    val weightBytes: Int = 1_024,
) : StandinSpec {
    override fun start(): RunningStandin =
        FakeWeightStore(port, loadsPerMinute, weightBytes).let { RunningStandin(id, it.address, it) }
}

/** Row of the instance list for an upstream or entry instance at [address] (`ip:port`). */
fun listRow(kind: String, id: String, name: String, address: String, location: Location): JsonObject = buildJsonObject {
    put("id", id)
    put("kind", kind)
    put("name", name)
    put("address", address)
    put("region", location.region)
    put("data_centre", location.dataCentre)
    put("rack", location.rack)
}
