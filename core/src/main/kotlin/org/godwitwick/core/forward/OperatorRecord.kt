package org.godwitwick.core.forward

/** A record of the operators. */
sealed interface OperatorRecord {
    /** The complete newest configuration. */
    data class Configuration(val config: RoutingConfig) : OperatorRecord

    /** The evacuation of [dataCentre]; [isWithdrawn] tells that it has ended. */
    data class Evacuation(val dataCentre: String, val isWithdrawn: Boolean) : OperatorRecord
}
