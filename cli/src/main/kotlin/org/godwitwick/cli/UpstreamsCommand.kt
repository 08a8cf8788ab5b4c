package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the engines and services of the instance list. */
@Command(
    name = "upstreams",
    mixinStandardHelpOptions = true,
    description = ["Shows the engines and services of the instance list."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:entry instance unreachable or request refused", "2:invalid arguments"],
)
class UpstreamsCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/upstreams", AdminText::upstreams)
}
