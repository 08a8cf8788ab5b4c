package org.godwitwick.node.forward

import okhttp3.Call
import okhttp3.Protocol
import org.godwitwick.node.upstream.WriteFailureListener
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Proxy

/** Notified of connection attempts to upstreams, on the threads that make them. */
interface ConnectListener {
    /** Called when a connection was established. */
    fun onConnected()

    /** Called when no connection to the upstream at [address], an `ip:port`, could be established. */
    fun onConnectFailed(address: String)
}

/** Passes the outcomes of an HTTP client's connection attempts on to [listener], except those that this instance cancelled. */
internal class ConnectObserver(private val listener: ConnectListener) : WriteFailureListener() {
    override fun connectEnd(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy, protocol: Protocol?) =
        listener.onConnected()

    override fun connectFailed(
        call: Call,
        inetSocketAddress: InetSocketAddress,
        proxy: Proxy,
        protocol: Protocol?,
        ioe: IOException,
    ) {
        if (!call.isCanceled()) listener.onConnectFailed("${inetSocketAddress.hostString}:${inetSocketAddress.port}")
    }
}
