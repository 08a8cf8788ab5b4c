package org.godwitwick.node.forward

import com.github.michaelbull.result.Ok
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against an instance that never registers again because its port for other instances was in use for a moment. */
class OccupiedPeerPortTest {
    private class Registry(private val rounds: CountDownLatch) : InstanceRegistry {
        override fun announce(self: RegisteredInstance, ttlMs: Long) =
            Ok(FleetGeneration(era = 1, number = 1)).also { rounds.countDown() }

        override fun instances() = Ok(emptyList<RegisteredInstance>())

        override fun sharedSecret(known: ByteArray?) = Ok(SharedSecret(ByteArray(32) { 7 }, era = 1))
    }

    @Test
    @Timeout(30)
    fun `an instance goes on registering and listens once its port is free`() {
        val rounds = CountDownLatch(3)
        val occupied = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        val port = occupied.localPort
        val self = RegisteredInstance(InstanceId("entry-1"), "north-a", "127.0.0.1:$port")
        val crashGuard = CrashGuard(Clocks::steadyMs, {}) {}
        ForwardPeers(self, Registry(rounds), UpstreamLoads(), PeerLoads(), {
            emptyMap()
        }, emptyMap(), crashGuard, {}, {}).use { peers ->
            peers.start()
            check(rounds.await(10, TimeUnit.SECONDS)) { "registration ended" }
            occupied.close()
            while (!accepts(port)) Thread.sleep(20)
        }
    }

    private fun accepts(port: Int): Boolean = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: java.io.IOException) {
        false
    }
}
