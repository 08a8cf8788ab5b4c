package org.godwitwick.lab

import org.godwitwick.lab.demo.DemoCommand
import org.godwitwick.lab.experiment.ExperimentCommand
import org.godwitwick.lab.forward.ForwardExperimentCommand
import org.godwitwick.lab.slopes.SlopesCommand
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Demo, experiments and measurements; not part of the product. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    subcommands = [DemoCommand::class, ExperimentCommand::class, SlopesCommand::class, ForwardExperimentCommand::class],
)
class LabCommand

/** Runs the lab's command line. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(LabCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}
