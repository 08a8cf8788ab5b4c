package org.godwitwick.node.peer

import kotlinx.serialization.Serializable

/**
 * A message between entry instances, encoded as CBOR. Each subsystem declares its messages in a separate file of this package.
 */
@Serializable
sealed interface PeerMessage
