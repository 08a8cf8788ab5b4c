package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Body of a row of topic `MEMBER`.
 *
 * @property isConfirmed whether the configuration was confirmed within [ConfigStanding.STATED_MS] when the beat was made.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class Beat(
    @CborLabel(1) val region: String,
    @CborLabel(2) val dataCentre: String,
    @CborLabel(3) val peerAddress: String?,
    @CborLabel(4) val isLeaving: Boolean,
    @CborLabel(5) val appliedOffset: Long,
    @CborLabel(6) val isConfirmed: Boolean,
)

/**
 * Body of a row of topic `DATA_CENTRE` with the name [SUMMARY_ROW].
 *
 * @property heard listed instances that the delegate heard.
 * @property confirmed those with a confirmed configuration.
 * @property appliedOffset offset that all heard instances but [behind] have applied.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class DataCentreSummary(
    @CborLabel(1) val region: String,
    @CborLabel(2) val dataCentre: String,
    @CborLabel(3) val heard: Int,
    @CborLabel(4) val confirmed: Int,
    @CborLabel(5) val appliedOffset: Long,
    @CborLabel(6) val behind: List<BehindMember>,
)

/** An instance that has applied less than the others of its data centre. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class BehindMember(@CborLabel(1) val id: String, @CborLabel(2) val appliedOffset: Long)

/** Body of a row of topic `DATA_CENTRE` with the name [ROSTER_ROW]: the live and leaving instances. It changes rarely. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class Roster(
    @CborLabel(1) val region: String,
    @CborLabel(2) val dataCentre: String,
    @CborLabel(3) val members: List<RosterMember>,
)

/** One instance of a [Roster]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class RosterMember(
    @CborLabel(1) val id: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val peerAddress: String?,
    @CborLabel(4) val isLeaving: Boolean,
)

/** Name of the row with a [DataCentreSummary]. */
const val SUMMARY_ROW = "s"

/** Name of the row with a [Roster]. */
const val ROSTER_ROW = "r"
