package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.godwitwick.core.health.TraitRow

/** What the sender observed, or was told, of requests that crash upstreams. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("qr")
class QuarantineRows(@CborLabel(1) val rows: List<TraitRow>) : PeerMessage
