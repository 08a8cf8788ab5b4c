package org.godwitwick.standins.platform

import java.net.ServerSocket

/** Retries of the whole fleet beyond the fraction, in [platformSettings]. */
const val DEFAULT_RETRY_RESERVE = 100

/** Time after which an engine counts as stalled, in [platformSettings]. */
const val DEFAULT_STALL_MS = 1_500

/** Ports of an instance for callers, for readiness and for other instances. */
data class InstancePorts(val callers: Int, val readiness: Int, val peers: Int) {
    companion object {
        /** Ports that are free at present. */
        fun free(): InstancePorts {
            val (callers, readiness, peers) = List(3) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
            return InstancePorts(callers, readiness, peers)
        }
    }
}

/** Text of a settings file for the instance [name], with an unknown field. */
fun platformSettings(
    storeAddress: String,
    revocationMs: Long,
    graceS: Int = 8,
    retryReserve: Int = DEFAULT_RETRY_RESERVE,
    stallMs: Int = DEFAULT_STALL_MS,
    name: String = "entry-1",
    ports: InstancePorts = InstancePorts.free(),
): String =
    """{"node-name":"$name","zone":"north-a","ip-address":"127.0.0.1","region":"north","zones":{"north-a":"north","north-b":"south"},"internal-port-range":[${ports.peers},${ports.peers}],
    "listen-addresses":{"frontend":"127.0.0.1:${ports.callers}","readiness":"127.0.0.1:${ports.readiness}",
    "control-plane":"127.0.0.1:1"},"heartbeat-interval-ms":1200,"a-new-field":1,
    "bounds":{"revocation-ms":$revocationMs,"retry-budget-ratio":0.2,"retry-budget-slack":$retryReserve,"budget-window-s":10,
    "stall_ms":$stallMs,"max-hold-ms":20000,"free-ms":4000,"grace-period-s":$graceS},
    "platform":{"address":"$storeAddress","min-ttl-ms":1000}}"""

/**
 * Text of configuration [version] with the routes `/draft/` (streams), `/charge/` (unsafe) and `/status/` (safe) of the host
 * `menu.example`, and with the keys of each organisation.
 */
fun platformConfig(
    version: Int,
    keys: Map<String, List<String>>,
    timeoutMs: Int = 10_000,
    maxBodyBytes: Int = 1_000,
    coldPerS: Double? = null,
    coldStartS: Double = 0.0,
    targetMs: Int? = null,
    routeRegions: List<String> = emptyList(),
    organisationRegions: List<String> = emptyList(),
): String {
    val cold = coldPerS?.let { ""","cold-per-s":$it,"cold-start-s":$coldStartS""" }.orEmpty()
    val target = targetMs?.let { ""","target-latency-ms":$it""" }.orEmpty()
    val organisations = keys.entries.joinToString(",") { (name, ofName) ->
        """{"name":"$name","api-keys":${textsOf(ofName)}${regionsField(organisationRegions)}}"""
    }
    return """{"version":$version,"routes":[
        {"name":"r1","host":"menu.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":$timeoutMs,
         "target-latency-ms":300,"target-gap-ms":250,"service":"model","attempts":2,"resumable":true,"sticky-sessions":true},
        {"name":"r2","host":"menu.example","path-prefix":"/charge/","kind":"unsafe","timeout-ms":$timeoutMs,"service":"desk","attempts":2},
        {"name":"r3","host":"menu.example","path-prefix":"/status/","kind":"safe","timeout-ms":$timeoutMs,
         "traffic-split":[{"service":"desk","weight":100}],"attempts":2$target${regionsField(routeRegions)}}],
        "services":[{"name":"model","engine":{"slots":11,"kv-cache-tokens":232000,"read_per_s":206000.0,"pairs_per_m":0.138}},
        {"name":"desk"$cold}],"tenants":[$organisations],
        "limits":{"max-header-bytes":16384,"max-body-bytes":$maxBodyBytes,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
}

private fun textsOf(names: List<String>) = names.joinToString(",", "[", "]") { "\"$it\"" }

private fun regionsField(regions: List<String>) = if (regions.isEmpty()) "" else ""","allowed-regions":${textsOf(regions)}"""

/** Text of the registration of an upstream at [address], with an unknown field. */
fun upstreamRegistration(
    service: String,
    address: String,
    state: String = "ready",
    sequence: Int = 1,
    dataCentre: String = "north-a",
    coldRemainingMs: Long = 0,
): String = """{"service":"$service","address":"$address","zone":"$dataCentre","version":"v1","slots":11,"state":"$state",""" +
    """"cold-remaining-ms":$coldRemainingMs,"sequence":$sequence,"born":${7 + sequence / 2},"a-new-field":{}}"""
