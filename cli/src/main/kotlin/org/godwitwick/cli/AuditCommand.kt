package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the defaults, the exceptions and the instances that are not at the newest configuration. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = ["Shows the defaults, the exceptions and the instances that are not at the newest configuration."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:entry instance unreachable or request refused", "2:invalid arguments"],
)
class AuditCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/audit", AdminText::audit)
}
