package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the last publications with their outcomes and reasons. */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description = ["Shows the last publications with their outcomes and reasons."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:not reached or refused", "2:bad usage"],
)
class HistoryCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/history", AdminText::history)
}
