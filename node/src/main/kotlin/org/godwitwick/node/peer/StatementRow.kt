package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What an upstream stated about itself, passed on by the instance that received it.
 *
 * @property upstream the upstream's process.
 * @property limitPerS requests a second that it takes from all instances together, or null if it states no limit any more.
 * @property ageMs time since the statement.
 * @property isLeaving whether it stated that it is shutting down; if set, the row says nothing of a limit.
 * @property coldMs time for which it stays cold, zero if it is not cold any more, or null if the row says nothing of that. A row with it
 *   repeats what its sender knows of the limit, as earlier versions read the limit of every row.
 * @property coldPerS requests a second that it takes while it is cold.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("us")
class StatementRow(
    @CborLabel(1) val upstream: String,
    @CborLabel(2) val limitPerS: Double?,
    @CborLabel(3) val ageMs: Long,
    @CborLabel(4) val isLeaving: Boolean = false,
    @CborLabel(5) val coldMs: Long? = null,
    @CborLabel(6) val coldPerS: Double = 0.0,
) : PeerMessage
