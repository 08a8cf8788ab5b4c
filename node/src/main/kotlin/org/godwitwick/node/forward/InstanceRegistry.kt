package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId

/** An instance of the fleet; [address] is the `ip:port` on which it accepts its peers. */
data class RegisteredInstance(val id: InstanceId, val dataCentre: String, val address: String)

/** The instances that are registered on the platform. Used by one thread. */
interface InstanceRegistry {
    /** Registers [self], or keeps it registered, for [ttlMs]; returns a number that grows with each change of the registered instances. */
    fun announce(self: RegisteredInstance, ttlMs: Long): Result<Long, FeedFailure>

    /** All instances that are registered. */
    fun instances(): Result<List<RegisteredInstance>, FeedFailure>

    /** A secret that all instances share and nobody else knows; the first one makes it. */
    fun sharedSecret(): Result<ByteArray, FeedFailure>
}
