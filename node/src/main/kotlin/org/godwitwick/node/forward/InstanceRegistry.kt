package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId

/** An instance of the fleet; [address] is the `ip:port` on which it accepts its peers. */
data class RegisteredInstance(val id: InstanceId, val dataCentre: String, val address: String)

/** The platform's registry of instances. Used by one thread. */
interface InstanceRegistry {
    /**
     * Registers [self] or renews its registration for [ttlMs]. Returns the generation, which grows with each change of the
     * registered instances.
     */
    fun announce(self: RegisteredInstance, ttlMs: Long): Result<Long, FeedFailure>

    /** Reads all registered instances. */
    fun instances(): Result<List<RegisteredInstance>, FeedFailure>

    /** Reads the secret that only the instances share; the first instance creates it. */
    fun sharedSecret(): Result<ByteArray, FeedFailure>
}
