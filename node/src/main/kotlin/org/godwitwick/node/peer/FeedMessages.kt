package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Request for the receiver's copy of the feed named [feed]. Answered by [FeedAnswer].
 *
 * @property fromOffset offset from which changes are requested, or -1 for the newest record of each key.
 * @property holdMs longest time for which the receiver may delay its answer while there are no new records.
 * @property era era of the store to which [fromOffset] belongs.
 * @property awaitsProof whether the receiver shall also answer when it has read the store without finding new records, or has failed to.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("fp")
class FeedPull(
    @CborLabel(1) val feed: String,
    @CborLabel(2) val fromOffset: Long,
    @CborLabel(3) val holdMs: Long,
    @CborLabel(4) val era: Long = 0,
    @CborLabel(5) val awaitsProof: Boolean = false,
) : PeerMessage

/**
 * Answer to a [FeedPull]: an instance's copy of a feed.
 *
 * @property records deflated [FeedRecords], or empty if there are none.
 * @property isSnapshot whether the records are the newest ones of all keys rather than changes.
 * @property nextOffset offset that follows the records, or -1 if the instance has no copy of the feed.
 * @property provenLeadMs time at which the records were known to be complete, relative to the arrival of the request;
 *   negative if earlier.
 * @property isFirstHand whether the instance read the feed from the store itself rather than from a peer.
 * @property regainedLeadMs time at which the store answered again after an outage, relative to the arrival of the request,
 *   or null if there was no recent outage.
 * @property era era of the store to which [nextOffset] belongs.
 * @property passesProofs whether the instance's last read was one of the store that succeeded, and it honours [FeedPull.awaitsProof].
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
    @CborLabel(7) val era: Long = 0,
    @CborLabel(8) val passesProofs: Boolean = false,
) : PeerMessage

/** Records of a feed; [keys] and [values] are parallel lists. An empty value removes its key. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class FeedRecords(@CborLabel(1) val keys: List<String>, @CborLabel(2) val values: List<ByteArray>)

/**
 * Request for the instances registered as of [generation] of the registry in [era] or later. Answered by [MembersAnswer] or not at all.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("mp")
class MembersPull(@CborLabel(1) val generation: Long, @CborLabel(2) val era: Long = 0) : PeerMessage

/** The instances registered as of [generation] of the registry in [era]; [ids], [dataCentres] and [addresses] are parallel lists, and [callerAddresses] as well. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("ma")
class MembersAnswer(
    @CborLabel(1) val generation: Long,
    @CborLabel(2) val ids: List<String>,
    @CborLabel(3) val dataCentres: List<String>,
    @CborLabel(4) val addresses: List<String>,
    @CborLabel(5) val era: Long = 0,
    @CborLabel(6) val callerAddresses: List<String> = emptyList(),
) : PeerMessage
