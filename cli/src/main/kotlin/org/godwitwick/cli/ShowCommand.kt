package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the configuration in force. */
@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = ["Shows the configuration in force."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:entry instance unreachable or request refused", "2:invalid arguments"],
)
class ShowCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/config", AdminText::config)
}
