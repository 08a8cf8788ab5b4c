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
 * @property cutOffGraceMs time after the last confirmation beyond which a cut-off instance refuses new work.
 * @property logRetentionMs time for which the log retains a record.
 */
data class ConfigBounds(val cutOffGraceMs: Long = 4_000, val logRetentionMs: Long = 86_400_000)

/** Assembles the configuration, the peers and the membership of one instance. */
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
    timeouts: PublicationTimeouts = PublicationTimeouts(),
) : AutoCloseable {
    private val monotonicMs = { System.nanoTime() / 1_000_000 }

    /** Applied configuration and its confirmation. */
    val store = ConfigStore(bounds.cutOffGraceMs, monotonicMs())

    /** Connections to peers, and membership. */
    val peers = PeerSystem(self, incarnation, secret, control, listed, { store.status }, host, peerPort, peerLimits)

    /** Keeps [store] up to date with the log. */
    val follower = ConfigFollower(self, platformLog, store, peers, control, bounds.logRetentionMs)

    /** Status of the other instances. Accessed on the control thread only. */
    val fleet = object : FleetStatus {
        override fun regions(): List<RegionReports> = peers.membership.regions(monotonicMs())

        override fun appliedOffsets(): List<AppliedOffset> = peers.membership.appliedOffsets(monotonicMs())
    }

    /** Appends publications. */
    val publications =
        PublicationService(platformLog, store, control, fleet, follower::startReadingLog, bounds.logRetentionMs, timeouts)

    /** The configuration in force. */
    fun view(): ConfigView = follower.view()

    /** Whether this instance can currently rely on its configuration being the newest. */
    fun freshness(): Freshness = follower.freshness()

    /** Starts the peers, then the follower. */
    fun start() {
        peers.start()
        follower.start()
    }

    override fun close() {
        follower.close()
        peers.close()
    }
}
