package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Asks what the receiver knows of the feed called [feed]; answered by [FeedAnswer].
 *
 * @property fromOffset offset from which changes are asked for, or -1 for the newest record of each key.
 * @property holdMs time for which the receiver may wait for news before it answers.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("fp")
class FeedPull(@CborLabel(1) val feed: String, @CborLabel(2) val fromOffset: Long, @CborLabel(3) val holdMs: Long) : PeerMessage

/**
 * What an instance knows of a feed.
 *
 * @property records deflated [FeedRecords], empty for none.
 * @property nextOffset offset that follows the records, or -1 when the instance knows nothing of the feed.
 * @property provenLeadMs time by which the moment at which the records were known to be all lies after the question's arrival.
 * @property isFirstHand whether the instance read it from the store itself.
 * @property regainedLeadMs the same for the moment at which the store answered again after an outage; null when there was none lately.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("fa")
class FeedAnswer(
    @CborLabel(1) val records: ByteArray,
    @CborLabel(2) val isSnapshot: Boolean,
    @CborLabel(3) val nextOffset: Long,
    @CborLabel(4) val provenLeadMs: Long,
    @CborLabel(5) val isFirstHand: Boolean,
    @CborLabel(6) val regainedLeadMs: Long? = null,
) : PeerMessage

/** Records of a feed; the lists run in parallel, and an empty value removes its key. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class FeedRecords(@CborLabel(1) val keys: List<String>, @CborLabel(2) val values: List<ByteArray>)

/** Asks for the instances that are registered at [generation] of the registry or later; answered by [MembersAnswer] or not at all. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("mp")
class MembersPull(@CborLabel(1) val generation: Long) : PeerMessage

/** The registered instances as of [generation]; the lists run in parallel. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("ma")
class MembersAnswer(
    @CborLabel(1) val generation: Long,
    @CborLabel(2) val ids: List<String>,
    @CborLabel(3) val dataCentres: List<String>,
    @CborLabel(4) val addresses: List<String>,
) : PeerMessage
