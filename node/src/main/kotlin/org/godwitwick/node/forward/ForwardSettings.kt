package org.godwitwick.node.forward

import org.godwitwick.core.forward.ColdBound
import org.godwitwick.core.forward.Regions
import org.godwitwick.node.memory.bodyMemoryBytes

/**
 * Settings of a [ForwardNode].
 *
 * @property peerAddress `ip:port` for connections of other instances.
 * @property dataCentre data centre in which this instance runs.
 * @property listenHost address for connections of callers.
 * @property readinessPath path of the load balancer's readiness probe.
 * @property heartbeatMs time between two registrations of an upstream in the store.
 * @property revocationMs time after which no instance may accept a revoked key.
 * @property applyMs time within which a new configuration must be in force.
 * @property leavingMs time within which a leaving upstream gets no new work.
 * @property evacuationMs time within which the upstreams of an evacuated data centre get no new work.
 * @property retryFraction retries per request that the whole fleet may send to a service.
 * @property retryReserve number of further retries for the whole fleet within [retryWindowMs].
 * @property retryWindowMs time over which retries are counted.
 * @property stallMs time after which an engine ends work that depends on an unreachable engine.
 * @property maxHoldMs maximum duration of a reservation that is not extended.
 * @property freeMs time within which abandoned reservations must be free again.
 * @property graceMs time between the stop signal and the forced termination.
 * @property bodyMemoryBytes memory that the bodies of requests and of buffered answers may use at once.
 * @property coldBound bound on what a cold upstream gets from all instances together.
 * @property regions regions of the data centres.
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
    val applyMs: Long,
    val leavingMs: Long,
    val retryFraction: Double,
    val retryReserve: Int,
    val retryWindowMs: Long,
    val stallMs: Long,
    val maxHoldMs: Long,
    val freeMs: Long,
    val graceMs: Long,
    val bodyMemoryBytes: Long = bodyMemoryBytes(),
    val evacuationMs: Long = 5_000,
    val coldBound: ColdBound = ColdBound(),
    val regions: Regions = Regions(),
)
