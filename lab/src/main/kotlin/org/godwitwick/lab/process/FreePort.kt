package org.godwitwick.lab.process

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

// Outside the ephemeral port range, so that no outgoing connection can take a free port before the process binds it.
private const val FIRST_PORT = 20_000
private const val LAST_PORT = 30_000

/** A port on which nothing listens at present. */
internal fun freePort(): Int = generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }.first { port ->
    try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { true }
    } catch (_: IOException) {
        false
    }
}
