package org.godwitwick.cli

import picocli.CommandLine.Command

/** Shows the engines and services of the instance list. */
@Command(
    name = "upstreams",
    mixinStandardHelpOptions = true,
    description = ["Shows the engines and services of the instance list."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:success", "1:not reached or refused", "2:bad usage"],
)
class UpstreamsCommand : AdminCommand() {
    override fun call(): Int = show("/admin/v1/upstreams", AdminText::upstreams)
}
