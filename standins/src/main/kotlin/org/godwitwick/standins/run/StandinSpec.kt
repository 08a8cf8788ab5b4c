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

/** Content of a set file: the stand-ins that one process runs. */
@Serializable
data class StandinSet(val standins: List<StandinSpec>)

/** Settings of one stand-in; the field `kind` of its JSON object names the class. */
@Serializable
sealed interface StandinSpec {
    /** Name of the stand-in in the ready line. */
    val id: String

    /** Starts the stand-in. */
    fun start(): RunningStandin
}

/**
 * A running stand-in.
 *
 * @property row its row on the instance list, null when it isn't listed.
 */
class RunningStandin(val id: String, val address: String, val server: AutoCloseable, val row: JsonObject? = null)

/** Where a listed stand-in runs. */
@Serializable
data class Location(val region: String, val dataCentre: String, val rack: String = "")

/** A model engine. */
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

/** The instance list. It starts with the rows of the set's other stand-ins; `PUT /instances` replaces them. */
@Serializable
@SerialName("list")
data class ListStandin(override val id: String = "list", val port: Int = 0, val lagMs: Long = 0) : StandinSpec {
    override fun start(): RunningStandin = FakeInstanceList(port, lagMs).let { RunningStandin(id, it.address, it) }
}

/** The append-only log; `POST /faults` switches its faults on. */
@Serializable
@SerialName("log")
data class LogStandin(override val id: String = "log", val port: Int = 0) : StandinSpec {
    override fun start(): RunningStandin = FakeLog(port).let { RunningStandin(id, it.address, it) }
}

/** A plain service such as a booking desk, which counts what it ran. */
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

/** The weight store. */
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

/** A row of the instance list. */
fun listRow(kind: String, id: String, name: String, address: String, location: Location): JsonObject = buildJsonObject {
    put("id", id)
    put("kind", kind)
    put("name", name)
    put("address", address)
    put("region", location.region)
    put("data_centre", location.dataCentre)
    put("rack", location.rack)
}
