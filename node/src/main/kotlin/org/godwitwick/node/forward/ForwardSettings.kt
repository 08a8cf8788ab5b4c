package org.godwitwick.node.forward

/**
 * Settings of a forwarding instance, as its platform gives them.
 *
 * @property peerAddress `ip:port` on which other instances are accepted.
 * @property listenHost address on which callers are served.
 * @property readinessPath path that the balancer asks for.
 * @property heartbeatMs time between two records of an upstream in the store.
 * @property revocationMs time after which no instance may honour a withdrawn key.
 * @property leavingMs time within which a leaving upstream gets no new work.
 * @property retryFraction repeats per request that the whole fleet may send to a service.
 * @property retryReserve repeats besides, for the whole fleet.
 * @property retryWindowMs time over which repeats are counted.
 * @property stallMs time after which an engine ends work that depends on a lost one.
 * @property maxHoldMs longest hold of a reservation.
 * @property freeMs time within which unused reservations have to be free.
 * @property graceMs time between the signal to stop and the forced end.
 */
data class ForwardSettings(
    val instanceName: String,
    val dataCentre: String,
    val peerAddress: String,
    val listenHost: String,
    val listenPort: Int,
    val readinessHost: String,
    val readinessPort: Int,
    val readinessPath: String,
    val metricsPath: String,
    val heartbeatMs: Long,
    val revocationMs: Long,
    val leavingMs: Long,
    val retryFraction: Double,
    val retryReserve: Int,
    val retryWindowMs: Long,
    val stallMs: Long,
    val maxHoldMs: Long,
    val freeMs: Long,
    val graceMs: Long,
)
