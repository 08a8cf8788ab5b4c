package org.godwitwick.core.forward

/** Accepts configurations in the order of their versions only, so that late or repeated records take nothing back. Not thread safe. */
class ConfigGate {
    /** The table in force, or null before the first configuration. */
    var table: RoutingTable? = null
        private set

    /** Puts [config] in force and returns true, or returns false when it is not newer than the one in force. */
    fun accept(config: RoutingConfig): Boolean {
        val current = table
        if (current != null && config.version <= current.config.version) return false
        table = RoutingTable(config)
        return true
    }
}
