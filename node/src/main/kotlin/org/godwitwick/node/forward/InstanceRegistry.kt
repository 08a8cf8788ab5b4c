package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId

/**
 * An instance of the fleet.
 *
 * @property address `ip:port` on which it accepts its peers.
 * @property callerAddress `ip:port` on which it accepts requests, or null if it takes none of other instances.
 */
data class RegisteredInstance(val id: InstanceId, val dataCentre: String, val address: String, val callerAddress: String? = null)

/**
 * Generation of the registered instances. [number] grows with each change of the registered instances, and begins anew with each
 * [era] of the store.
 */
data class FleetGeneration(val era: Long, val number: Long) : Comparable<FleetGeneration> {
    override fun compareTo(other: FleetGeneration): Int = compareValuesBy(this, other, { it.era }, { it.number })
}

/** The secret that only the instances share, as read in [era] of the store. */
class SharedSecret(val bytes: ByteArray, val era: Long)

/** The platform's registry of instances. Used by one thread. */
interface InstanceRegistry {
    /** Registers [self] or renews its registration for [ttlMs]. Returns the generation of the registered instances. */
    fun announce(self: RegisteredInstance, ttlMs: Long): Result<FleetGeneration, FeedFailure>

    /** Reads all registered instances. */
    fun instances(): Result<List<RegisteredInstance>, FeedFailure>

    /** Reads the secret that only the instances share. If there is none, stores [known] or, if that is null, a new one. */
    fun sharedSecret(known: ByteArray?): Result<SharedSecret, FeedFailure>
}
