package org.godwitwick.node.settings

import org.godwitwick.node.security.KeyEntry
import java.net.URI
import java.net.URISyntaxException

/** Returns all faults of these settings, which were read from [file]; empty if an instance may start with them. */
fun NodeSettings.faults(file: String): List<SettingsFault> = FaultCollector(file).apply {
    name("instanceId", instanceId)
    name("region", region)
    name("dataCentre", dataCentre)
    if (host.isBlank()) add("host", host, "an IP address")
    integer("httpPort", httpPort.toLong(), 0L..MAX_PORT, "port number")
    integer("peerPort", peerPort.toLong(), 0L..MAX_PORT, "port number")
    if (httpPort != 0 && httpPort == peerPort) add("peerPort", peerPort, "another port than httpPort")
    if (peerSecretFile?.isBlank() == true) add("peerSecretFile", peerSecretFile, "a file name, or no such field")
    if (keysFile.isBlank()) add("keysFile", keysFile, "a file name")
    url("logUrl", logUrl)
    url("instanceListUrl", instanceListUrl)
    weightStoreUrl?.let { url("weightStoreUrl", it) }
    integer("workerThreads", workerThreads.toLong(), 4L..8_192L, "threads")
    integer("listPollMs", listPollMs, 50L..10_000L, "milliseconds")
    integer("drainNoticeMs", drainNoticeMs, 0L..600_000L, "milliseconds")
    integer("stallTimeoutMs", stallTimeoutMs, 100L..600_000L, "milliseconds")
    integer("cutOffGraceMs", cutOffGraceMs, 3_000L..3_600_000L, "milliseconds")
    integer("logRetentionMs", logRetentionMs, 120_000L..31_536_000_000L, "milliseconds")
    if (bodyMemoryFraction !in 0.05..0.5) add("bodyMemoryFraction", bodyMemoryFraction, "0.05 to 0.5 (fraction of the heap)")
}.faults

/** Returns all faults of this key file, which was read from [file]. The faults contain no key and no hash. */
fun KeyFile.faults(file: String): List<SettingsFault> = FaultCollector(file).apply {
    keys.forEachIndexed { i, entry -> key("keys[$i]", entry) }
    keys.groupBy { it.keySha256.lowercase() }.values.filter { it.size > 1 }
        .forEach { add("keys", "a hash that occurs ${it.size} times", "each key once") }
}.faults

private class FaultCollector(private val file: String) {
    val faults = ArrayList<SettingsFault>()

    fun add(field: String, value: Any, expected: String) {
        faults.add(SettingsFault(file, field, value.toString().ifEmpty { "\"\"" }, expected))
    }

    fun name(field: String, value: String) {
        if (!NAME_PATTERN.matches(value)) add(field, value, "a name of 1 to 128 of the characters A-Z a-z 0-9 . _ -")
    }

    fun integer(field: String, value: Long, range: LongRange, unit: String) {
        if (value !in range) add(field, value, "${range.first} to ${range.last} ($unit)")
    }

    fun url(field: String, value: String) {
        val uri = try {
            URI(value)
        } catch (_: URISyntaxException) {
            null
        }
        when {
            uri?.rawUserInfo != null -> add(field, "a URL with credentials", "a URL without credentials")

            uri?.scheme !in setOf(
                "http",
                "https",
            ) || uri?.host == null -> add(field, value, "http://host:port or https://host:port")
        }
    }

    fun key(field: String, entry: KeyEntry) {
        if (!HASH_PATTERN.matches(entry.keySha256)) add("$field.keySha256", "(not shown)", "the key's SHA-256 in 64 hex digits")
        val holders = listOfNotNull(entry.organisation, entry.operator)
        if (holders.size != 1 ||
            holders.single().isBlank()
        ) {
            add(field, "${holders.size} holders", "either organisation or operator")
        }
    }
}

private val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,128}")
private val HASH_PATTERN = Regex("[0-9A-Fa-f]{64}")
private const val MAX_PORT = 65_535L
