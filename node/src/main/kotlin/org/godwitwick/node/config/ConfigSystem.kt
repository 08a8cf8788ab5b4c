package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.peer.AppliedOffset
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerLimits
import org.godwitwick.node.peer.PeerSystem
import org.godwitwick.node.platform.PlatformLog

/**
 * Bounds of the configuration of one instance.
 *
 * @property cutOffGraceMs time after the last confirmation from which a cut-off instance refuses new work.
 * @property logRetentionMs how long the log keeps a record.
 */
data class ConfigBounds(val cutOffGraceMs: Long = 4_000, val logRetentionMs: Long = 86_400_000)

/** Configuration, peers and membership of one instance, put together. */
class ConfigSystem(
    self: Peer,
    incarnation: Long,
    secret: ByteArray?,
    platformLog: PlatformLog,
    listed: () -> List<ListedInstance>,
    control: ControlThread,
    bounds: ConfigBounds,
    host: String,
    peerPort: Int,
    peerLimits: PeerLimits = PeerLimits(),
    waits: PublicationWaits = PublicationWaits(),
) : AutoCloseable {
    private val monotonicMs = { System.nanoTime() / 1_000_000 }

    /** The folded configuration. */
    val store = ConfigStore(bounds.cutOffGraceMs, monotonicMs())

    /** Peers and members. */
    val peers = PeerSystem(self, incarnation, secret, control, listed, { store.standing }, host, peerPort, peerLimits)

    /** Follows the log. */
    val follower = ConfigFollower(self, platformLog, store, peers, control, bounds.logRetentionMs)

    /** What is known about other instances; used on the control thread. */
    val fleet = object : FleetStanding {
        override fun regions(): List<RegionReports> = peers.membership.regions(monotonicMs())

        override fun appliedOffsets(): List<AppliedOffset> = peers.membership.appliedOffsets(monotonicMs())
    }

    /** Appends publications. */
    val publications =
        PublicationService(platformLog, store, control, fleet, follower::readLogMeanwhile, bounds.logRetentionMs, waits)

    /** The configuration in force. */
    fun view(): ConfigView = follower.view()

    /** How sure this instance is of its configuration now. */
    fun freshness(): Freshness = follower.freshness()

    /** Starts peers, then the follower. */
    fun start() {
        peers.start()
        follower.start()
    }

    override fun close() {
        follower.close()
        peers.close()
    }
}
