package org.godwitwick.lab

import org.godwitwick.lab.process.FleetProcess
import org.godwitwick.lab.process.LabClient
import org.godwitwick.lab.process.ProcessFleet
import org.godwitwick.lab.process.TcpForwarder
import org.godwitwick.lab.process.await
import org.godwitwick.standins.list.FakeInstanceList
import org.godwitwick.standins.run.ListStandin
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import kotlin.system.measureNanoTime

/** Guards against processes that outlive the test that started them, and against a forwarder that does not inject its faults. */
@Timeout(60)
class ProcessFleetTest {
    @Test
    fun `a failing test leaves no process running, not even a frozen one`() {
        var frozen: FleetProcess? = null
        expectThrows<IllegalStateException> {
            ProcessFleet().use { fleet ->
                frozen = fleet.startStandins("list", listOf(ListStandin())).process.also { it.freeze() }
                error("the test fails")
            }
        }
        expectThat(frozen?.isAlive).isEqualTo(false)
    }

    @Test
    fun `a process exits when the input pipe from its parent is closed`() {
        ProcessFleet().use { fleet ->
            val process = fleet.startStandins("list", listOf(ListStandin())).process
            process.closeInput()
            await("the process ends") { !process.isAlive }
        }
    }

    @Test
    fun `the forwarder delays requests and answers`() = withForwarder { forwarder ->
        forwarder.delayMs = 100
        val nanos = measureNanoTime { expectThat(LabClient.status(forwarder.address, "/instances")).isEqualTo(200) }
        expectThat(nanos).isGreaterThanOrEqualTo(200_000_000)
    }

    @Test
    fun `the forwarder resets open connections`() = withForwarder { forwarder ->
        openConnection(forwarder).use { socket ->
            forwarder.resetOpenConnections()
            expectThrows<SocketException> { readAll(socket) }
        }
    }

    @Test
    fun `a silenced connection stays open without data while a new connection works`() = withForwarder { forwarder ->
        openConnection(forwarder).use { socket ->
            expectThat(forwarder.silenceOpenConnections()).isEqualTo(1)
            socket.getOutputStream().write(REQUEST)
            socket.soTimeout = 300
            expectThrows<SocketTimeoutException> { readAll(socket) }
            openConnection(forwarder).close()
        }
    }

    private fun withForwarder(action: (TcpForwarder) -> Unit) = FakeInstanceList(0).use { list ->
        TcpForwarder(list.address).use(action)
    }

    // Opens a connection and reads the first byte of an answer on it.
    private fun openConnection(forwarder: TcpForwarder): Socket {
        val socket = Socket("127.0.0.1", forwarder.address.substringAfter(':').toInt())
        socket.getOutputStream().write(REQUEST)
        expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
        return socket
    }

    private fun readAll(socket: Socket) {
        while (socket.getInputStream().read() >= 0) Unit
    }

    private companion object {
        val REQUEST = "GET /instances HTTP/1.1\r\nHost: list\r\n\r\n".toByteArray()
    }
}
