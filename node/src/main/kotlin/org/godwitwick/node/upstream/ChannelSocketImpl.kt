package org.godwitwick.node.upstream

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketAddress
import java.net.SocketException
import java.net.SocketImpl
import java.net.SocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * Implementation of client sockets on a channel. Unlike the default one it can tell whether there is something to read without
 * waiting for it: the shortest read timeout of a socket is 1 ms.
 */
internal class ChannelSocketImpl : SocketImpl() {
    private lateinit var channel: SocketChannel
    private lateinit var socket: Socket

    override fun create(stream: Boolean) {
        channel = SocketChannel.open()
        socket = channel.socket()
    }

    /**
     * Whether the server has closed or reset the connection, or has sent a byte, which is lost then. Must not be called while another
     * thread reads or writes, because it would wait for that thread.
     */
    fun hasInput(): Boolean = try {
        channel.configureBlocking(false)
        try {
            channel.read(ByteBuffer.allocate(1)) != 0
        } finally {
            channel.configureBlocking(true)
        }
    } catch (_: IOException) {
        true
    }

    override fun connect(host: String, port: Int) = connect(InetSocketAddress(host, port), 0)

    override fun connect(address: InetAddress, port: Int) = connect(InetSocketAddress(address, port), 0)

    override fun connect(address: SocketAddress, timeoutMs: Int) {
        socket.connect(address, timeoutMs)
        this.address = socket.inetAddress
        port = socket.port
        localport = socket.localPort
    }

    override fun bind(host: InetAddress, port: Int) = socket.bind(InetSocketAddress(host, port))

    override fun getInputStream(): InputStream = socket.getInputStream()

    override fun getOutputStream(): OutputStream = socket.getOutputStream()

    override fun available(): Int = socket.getInputStream().available()

    override fun shutdownInput() = socket.shutdownInput()

    override fun shutdownOutput() = socket.shutdownOutput()

    override fun close() = socket.close()

    override fun getOption(id: Int): Any = when (id) {
        SocketOptions.SO_TIMEOUT -> socket.soTimeout
        SocketOptions.TCP_NODELAY -> socket.tcpNoDelay
        SocketOptions.SO_KEEPALIVE -> socket.keepAlive
        SocketOptions.SO_LINGER -> socket.soLinger
        SocketOptions.SO_BINDADDR -> socket.localAddress
        else -> throw SocketException("option $id is not supported")
    }

    override fun setOption(id: Int, value: Any) = when (id) {
        SocketOptions.SO_TIMEOUT -> socket.soTimeout = value as Int
        SocketOptions.TCP_NODELAY -> socket.tcpNoDelay = value as Boolean
        SocketOptions.SO_KEEPALIVE -> socket.keepAlive = value as Boolean
        SocketOptions.SO_LINGER -> if (value is Int) socket.setSoLinger(true, value) else socket.setSoLinger(false, 0)
        else -> throw SocketException("option $id is not supported")
    }

    override fun sendUrgentData(data: Int) = unsupported()

    override fun listen(backlog: Int) = unsupported()

    override fun accept(accepted: SocketImpl) = unsupported()

    private fun unsupported(): Nothing = throw SocketException("not supported by client sockets")
}
