package org.godwitwick.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of a process on the platform's instance list. */
@Serializable
enum class ListedKind {
    /** An entry instance of godwitwick. */
    @SerialName("entry")
    ENTRY,

    /** A model engine replica. */
    @SerialName("engine")
    ENGINE,

    /** A plain service, that is, an upstream other than a model engine. */
    @SerialName("service")
    SERVICE,
}

/** State of a process on the platform's instance list. The list lags behind the actual state. */
@Serializable
enum class ListedState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * An entry of the platform's instance list.
 *
 * @property name model name of an engine, service name of a service, or empty for an entry instance.
 * @property address `ip:port` of the HTTP endpoint.
 * @property peerAddress `ip:port` for traffic between entry instances, or null for upstreams.
 * @property checksFencing whether the upstream rejects orders that carry an outdated fencing number.
 */
@Serializable
data class ListedInstance(
    val id: InstanceId,
    val kind: ListedKind,
    val name: String = "",
    val address: String,
    @SerialName("peer_address") val peerAddress: String? = null,
    val region: String,
    @SerialName("data_centre") val dataCentre: String,
    val rack: String = "",
    val state: ListedState = ListedState.LIVE,
    @SerialName("checks_fencing") val checksFencing: Boolean = false,
)
