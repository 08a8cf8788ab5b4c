package org.godwitwick.node.peer

import kotlinx.serialization.Serializable

/** A message between entry instances, encoded as CBOR. Each part declares its messages in a file of its own in this package. */
@Serializable
sealed interface PeerMessage
