package org.godwitwick.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** The command line of godwitwick. Exit codes are those of [ExitCodes]; each command documents its own. */
@Command(
    name = "godwitwick",
    mixinStandardHelpOptions = true,
    version = ["godwitwick 0.1.0"],
    description = ["Serving layer for language-model requests of very different prompt lengths."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:failure at run time", "2:bad usage or bad settings", "3:conflict", "4:outcome not known"],
    subcommands = [
        ServeCommand::class,
        CheckCommand::class,
        PublishCommand::class,
        ShowCommand::class,
        HistoryCommand::class,
        UpstreamsCommand::class,
        AuditCommand::class,
    ],
)
class GodwitwickCommand

/** Runs the command line. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(GodwitwickCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}
