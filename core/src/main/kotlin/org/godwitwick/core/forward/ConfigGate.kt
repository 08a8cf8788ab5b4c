package org.godwitwick.core.forward

/**
 * Accepts only configurations with increasing versions, so that late or repeated records do not revert a newer one.
 *
 * Not thread safe.
 */
class ConfigGate {
    /** The routing table in force, or null before the first configuration. */
    var table: RoutingTable? = null
        private set

    /** Puts [config] in force and returns true, or returns false if its version is not higher than the one in force. */
    fun accept(config: RoutingConfig): Boolean {
        val current = table
        if (current != null && config.version <= current.config.version) return false
        table = RoutingTable(config)
        return true
    }
}
