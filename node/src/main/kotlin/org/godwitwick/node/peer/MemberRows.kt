package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Heartbeat of an instance: body of a row of topic `MEMBER`.
 *
 * @property peerAddress `ip:port` on which peers reach the instance, or null if only the instance list has it.
 * @property isLeaving whether the instance is leaving and no longer takes a role.
 * @property appliedOffset offset up to which the instance has applied the configuration.
 * @property isConfirmed whether the configuration had been confirmed within [ConfigStatus.REPORTED_CONFIRMATION_MAX_AGE_MS] when
 * the row was created.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class HeartbeatBody(
    @CborLabel(1) val region: String,
    @CborLabel(2) val dataCentre: String,
    @CborLabel(3) val peerAddress: String?,
    @CborLabel(4) val isLeaving: Boolean,
    @CborLabel(5) val appliedOffset: Long,
    @CborLabel(6) val isConfirmed: Boolean,
)

/**
 * Summary of the heartbeats of a data centre: body of a row of topic `DATA_CENTRE` with the name [SUMMARY_ROW].
 *
 * @property heard number of listed instances that the delegate received a recent heartbeat from.
 * @property confirmed number of those whose configuration is confirmed.
 * @property appliedOffset offset up to which all of those have applied the configuration, except the ones in [behind].
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

/** An instance that has applied fewer configuration records than the most advanced one of its data centre. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class BehindMember(@CborLabel(1) val id: String, @CborLabel(2) val appliedOffset: Long)

/**
 * Live and leaving instances of a data centre: body of a row of topic `DATA_CENTRE` with the name [ROSTER_ROW]. It changes
 * rarely.
 */
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
