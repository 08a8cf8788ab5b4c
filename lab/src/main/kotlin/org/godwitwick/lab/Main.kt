package org.godwitwick.lab

import org.godwitwick.lab.demo.DemoCommand
import org.godwitwick.lab.experiment.ExperimentCommand
import org.godwitwick.lab.slopes.SlopesCommand
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Demo, load and experiment tool. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = ["Demo and experiments with a fleet of processes on the loopback address."],
    subcommands = [DemoCommand::class, ExperimentCommand::class, SlopesCommand::class],
)
class LabCommand

/** Runs the command line. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(LabCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}
