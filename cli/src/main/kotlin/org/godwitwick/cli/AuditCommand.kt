package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows how the fleet is run: defaults, exceptions and instances that are behind. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = ["Shows how the fleet is run: defaults, exceptions and instances that are behind."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:not reached or refused", "2:bad usage"],
)
class AuditCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/audit", AdminText::audit)
}
