package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the latest publications with their outcomes and reasons. */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description = ["Shows the latest publications with their outcomes and reasons."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:entry instance unreachable or request refused", "2:invalid arguments"],
)
class HistoryCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/history", AdminText::history)
}
