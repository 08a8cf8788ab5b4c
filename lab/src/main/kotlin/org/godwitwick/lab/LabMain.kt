package org.godwitwick.lab

import org.godwitwick.lab.demo.DemoCommand
import org.godwitwick.lab.experiment.ExperimentCommand
import org.godwitwick.lab.forward.ForwardExperimentCommand
import org.godwitwick.lab.mixed.MixedFleetCommand
import org.godwitwick.lab.slopes.SlopesCommand
import org.godwitwick.lab.starts.StartsCommand
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Root command of the lab: demo, experiments and measurements. The lab is not part of the product. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    subcommands = [
        DemoCommand::class,
        ExperimentCommand::class,
        SlopesCommand::class,
        ForwardExperimentCommand::class,
        MixedFleetCommand::class,
        StartsCommand::class,
    ],
)
class LabCommand

/** Runs the command line of the lab and exits with the exit code of the command. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(LabCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}
