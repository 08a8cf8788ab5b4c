package org.godwitwick.standins.run

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.jsonObject
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Root command: runs stand-ins for external systems, for tests and experiments. */
@Command(
    name = "standins",
    mixinStandardHelpOptions = true,
    description = ["Runs stand-ins for external systems on the loopback address."],
    subcommands = [RunCommand::class],
)
class StandinsCommand

/** Runs all stand-ins of a set file in one process. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = ["Runs the stand-ins of a set file until the process is terminated."],
)
class RunCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE", description = ["Set file: {\"standins\":[{\"kind\":\"engine\",...},...]}."])
    lateinit var file: Path

    override fun call(): Int = runUntilTerminated(standinJson.decodeFromString<StandinSet>(Files.readString(file)))
}

/** Runs one stand-in; the name of the sub-command is its kind. */
@Command(mixinStandardHelpOptions = true, description = ["Runs one stand-in until the process is terminated."])
class SingleCommand(private val kind: String) : Callable<Int> {
    @Parameters(
        index = "0",
        paramLabel = "JSON",
        defaultValue = "{}",
        description = ["Settings as a JSON object, as in a set file."],
    )
    lateinit var json: String

    override fun call(): Int {
        val fields = standinJson.parseToJsonElement(json).jsonObject
        val spec = JsonObject(fields + ("kind" to JsonPrimitive(kind)))
        return runUntilTerminated(StandinSet(listOf(standinJson.decodeFromJsonElement<StandinSpec>(spec))))
    }
}

/** Kinds of stand-ins, each with a sub-command; the implementations of [StandinSpec] define their settings. */
private val singleKinds = listOf(
    "engine",
    "log",
    "service",
    "list",
    "weights",
)

@OptIn(ExperimentalSerializationApi::class)
private val standinJson = Json {
    classDiscriminator = "kind"
    allowComments = true
    allowTrailingComma = true
}

/** Runs the command that [args] name and exits with its code. */
fun main(args: Array<String>) {
    System.setProperty("logback.configurationFile", "logback-standins.xml")
    val commandLine = CommandLine(StandinsCommand())
    singleKinds.forEach { commandLine.addSubcommand(it, SingleCommand(it)) }
    exitProcess(commandLine.execute(*args))
}

private fun runUntilTerminated(set: StandinSet): Int {
    RunningSet(set).use {
        println(it.readyLine)
        CountDownLatch(1).await()
    }
    return 0
}
