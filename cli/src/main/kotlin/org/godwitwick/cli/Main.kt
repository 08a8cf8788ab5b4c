package org.godwitwick.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Root command of the command line. Exit codes are those of [ExitCodes]; each command documents the ones that it uses. */
@Command(
    name = "godwitwick",
    mixinStandardHelpOptions = true,
    version = ["godwitwick 0.1.0"],
    description = ["Serving layer for language-model requests of very different prompt lengths."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:failure at run time", "2:invalid arguments or settings", "3:conflict", "4:outcome unknown"],
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
