package org.godwitwick.node.peer

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.godwitwick.core.config.REPORT_MAX_AGE_MS
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.membership.Heartbeat
import org.godwitwick.core.membership.Member
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.VersionedRow
import org.godwitwick.core.membership.delegatesOf
import org.godwitwick.core.membership.mergeMembers
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind

/**
 * Status of an instance's configuration: the offset up to which it is applied, and the time at which it was last confirmed as
 * current, or null if it never was.
 */
class ConfigStatus(val appliedOffset: Long, val confirmedAtMs: Long?) {
    /** Whether the instance reports its configuration as confirmed at [nowMs]. */
    fun isConfirmed(nowMs: Long): Boolean = confirmedAtMs != null && nowMs - confirmedAtMs <= REPORTED_CONFIRMATION_MAX_AGE_MS

    companion object {
        /**
         * Age of the last confirmation up to which an instance reports its configuration as confirmed. Reading every 400 ms and
         * pulling every 250 ms keep the age below 1.1 s, and all instances learn of an outage well before the configuration
         * ceases to count as current.
         */
        const val REPORTED_CONFIRMATION_MAX_AGE_MS = 1_500L
    }
}

/** An instance and the configuration [offset] that it has applied, or null if there is no recent report of it. */
class AppliedOffset(val id: InstanceId, val region: String, val dataCentre: String, val offset: Long?)

/**
 * Identity of this instance, and a function that returns the address on which peers reach it, or null if only the instance list
 * has it.
 */
class OwnMember(val peer: Peer, val incarnation: Long, val peerAddress: () -> String?)

/**
 * Member table of this instance, built from the instance list and the rows of its peers. Instances of the same data centre are
 * tracked by their heartbeats, others by the summaries and rosters that their delegates publish. Functions with a `nowMs`
 * parameter must be called on the control thread; [members] and the functions of [PeerDirectory] may be called from any thread.
 */
class Membership(
    private val own: OwnMember,
    private val listed: () -> List<ListedInstance>,
    private val rows: RowExchange,
    private val configStatus: () -> ConfigStatus,
) : PeerDirectory {
    private val self get() = own.peer
    private var lastSummaryMs: Long? = null
    private var lastRosterMs: Long? = null
    private var lastRoster: Roster? = null
    private var publishedConfirmed = false
    private var publishedAnyConfirmed = false

    /** All members, this instance included. */
    @Volatile
    var members: List<Member> = emptyList()
        private set

    @Volatile
    private var addresses: Map<InstanceId, String> = emptyMap()

    @Volatile
    private var peers: List<Peer> = emptyList()

    /** Whether this instance announces to its peers that it is leaving and no longer takes a role. */
    @Volatile
    var isLeaving: Boolean = false

    override fun addressOf(id: InstanceId): String? = addresses[id]

    override fun livePeers(): List<Peer> = peers

    /** Publishes this instance's rows and rebuilds the member table. */
    fun tick(nowMs: Long) {
        publishHeartbeat(nowMs, isUrgent = false)
        members = mergeMembers(listed(), heartbeats(), nowMs)
        addresses = members.mapNotNull { member -> member.peerAddress?.let { member.id to it } }.toMap()
        peers = members.filter { it.isLive && it.id != self.id }.map { Peer(it.id, it.region, it.dataCentre) }
        if (delegatesOf(self.dataCentre, members).firstOrNull() == self.id) publishForDataCentre(nowMs)
    }

    /**
     * Publishes an urgent row if the confirmed state of this instance changed, and, on the first delegate, if the number of
     * confirmed instances of the data centre changed between zero and more.
     */
    fun publishStatusChanges(nowMs: Long) {
        if (configStatus().isConfirmed(nowMs) != publishedConfirmed) publishHeartbeat(nowMs, isUrgent = true)
        if (delegatesOf(self.dataCentre, members).firstOrNull() != self.id) return
        if ((localReports(nowMs, REPORT_MAX_AGE_MS / 2).confirmed > 0) !=
            publishedAnyConfirmed
        ) {
            publishSummary(nowMs, isUrgent = true)
        }
    }

    /** Number of listed, heard and confirmed instances of each region; empty until the instance list has been read. */
    fun regions(nowMs: Long): List<RegionReports> {
        val entries = listed().filter { it.kind == ListedKind.ENTRY }
        if (entries.isEmpty()) return emptyList()
        val isSelfListed = entries.any { it.id == self.id }
        val locations =
            entries.map { it.region to it.dataCentre } + listOf(self.region to self.dataCentre).filter { !isSelfListed }
        val local = localReports(nowMs, REPORT_MAX_AGE_MS)
        val remote = summaries().filter {
            it.first.ageMs(nowMs) <= REPORT_MAX_AGE_MS / 2
        }.associate { it.second.dataCentre to it.second }
        return locations.groupBy({ it.first }, { it.second }).map { (region, dataCentres) ->
            val names = dataCentres.toSet()
            RegionReports(
                region = region,
                listed = dataCentres.size,
                heard = names.sumOf { if (it == self.dataCentre) local.heard else remote[it]?.heard ?: 0 },
                confirmed = names.sumOf { if (it == self.dataCentre) local.confirmed else remote[it]?.confirmed ?: 0 },
            )
        }
    }

    /** The configuration offset that each listed or heard instance has applied, where it is known. */
    fun appliedOffsets(nowMs: Long): List<AppliedOffset> {
        val localOffsets = heartbeatRows().associate { (row, heartbeat) ->
            row.key.owner to
                heartbeat.appliedOffset.takeIf { row.ageMs(nowMs) <= REPORT_MAX_AGE_MS }
        }
        val remote = summaries().filter { it.first.ageMs(nowMs) <= REPORT_MAX_AGE_MS }
            .associate { it.second.dataCentre to it.second }
        return members.map { member ->
            val offset = if (member.dataCentre == self.dataCentre) {
                localOffsets[member.id]
            } else {
                remote[member.dataCentre]?.takeIf { member.isLive }?.let { summary ->
                    summary.behind.firstOrNull { it.id == member.id.value }?.appliedOffset ?: summary.appliedOffset
                }
            }
            AppliedOffset(member.id, member.region, member.dataCentre, offset)
        }
    }

    private fun publishHeartbeat(nowMs: Long, isUrgent: Boolean) {
        val configStatus = configStatus()
        publishedConfirmed = configStatus.isConfirmed(nowMs)
        val heartbeat =
            HeartbeatBody(
                self.region,
                self.dataCentre,
                own.peerAddress(),
                isLeaving,
                configStatus.appliedOffset,
                publishedConfirmed,
            )
        publish(RowTopic.MEMBER, "", peerCbor.encodeToByteArray(HeartbeatBody.serializer(), heartbeat), isUrgent)
    }

    private fun publishSummary(nowMs: Long, isUrgent: Boolean) {
        lastSummaryMs = nowMs
        val summary = summary(nowMs)
        publishedAnyConfirmed = summary.confirmed > 0
        val body = peerCbor.encodeToByteArray(DataCentreSummary.serializer(), summary)
        publish(RowTopic.DATA_CENTRE, SUMMARY_ROW, body, isUrgent)
    }

    private fun publish(topic: RowTopic, name: String, body: ByteArray, isUrgent: Boolean) {
        if (isUrgent) rows.publishUrgent(topic, name, body) else rows.publish(topic, name, body)
    }

    private fun publishForDataCentre(nowMs: Long) {
        if (lastSummaryMs.let { it == null || nowMs - it >= SUMMARY_PERIOD_MS }) publishSummary(nowMs, isUrgent = false)
        val roster = roster()
        if (roster == lastRoster && lastRosterMs.let { it != null && nowMs - it < ROSTER_PERIOD_MS }) return
        lastRoster = roster
        lastRosterMs = nowMs
        rows.publish(RowTopic.DATA_CENTRE, ROSTER_ROW, peerCbor.encodeToByteArray(Roster.serializer(), roster))
    }

    private fun summary(nowMs: Long): DataCentreSummary {
        val localReports = localReports(nowMs, REPORT_MAX_AGE_MS / 2)
        val applied = heartbeatRows().filter { it.first.ageMs(nowMs) <= REPORT_MAX_AGE_MS / 2 }
            .map { (row, heartbeat) -> BehindMember(row.key.owner.value, heartbeat.appliedOffset) }
        val newest = applied.maxOfOrNull { it.appliedOffset } ?: -1
        val behind = applied.filter { it.appliedOffset < newest }
        return DataCentreSummary(self.region, self.dataCentre, localReports.heard, localReports.confirmed, newest, behind)
    }

    private fun roster(): Roster {
        val leaving = heartbeatRows().filter { it.second.isLeaving }.mapTo(HashSet()) { it.first.key.owner }
        val present = members.filter { it.dataCentre == self.dataCentre && (it.isLive || it.id in leaving) }
        return Roster(
            self.region,
            self.dataCentre,
            present.map { RosterMember(it.id.value, it.incarnation, it.peerAddress, it.id in leaving) },
        )
    }

    private fun localReports(nowMs: Long, maxAgeMs: Long): RegionReports {
        val listedIds = listed().filter { it.kind == ListedKind.ENTRY }.mapTo(HashSet()) { it.id } + self.id
        val heard = heartbeatRows().filter { (row, _) -> row.key.owner in listedIds && row.ageMs(nowMs) <= maxAgeMs }
        return RegionReports(self.region, listedIds.size, heard.size, heard.count { it.second.isConfirmed })
    }

    private fun heartbeats(): List<Heartbeat> {
        val local = heartbeatRows().map { (row, heartbeat) ->
            Heartbeat(
                id = row.key.owner,
                incarnation = row.incarnation,
                region = heartbeat.region,
                dataCentre = heartbeat.dataCentre,
                peerAddress = heartbeat.peerAddress,
                isLeaving = heartbeat.isLeaving,
                heardAtMs = row.publishedAtMs,
            )
        }
        val heardAtMs = summaries().associate { (row, summary) ->
            summary.dataCentre to
                row.publishedAtMs + REMOTE_DELAY_ALLOWANCE_MS
        }
        val remote = latestPerDataCentre(ROSTER_ROW, Roster.serializer()) { it.dataCentre }.flatMap { (_, roster) ->
            val atMs = heardAtMs[roster.dataCentre] ?: return@flatMap emptyList()
            roster.members.map { heartbeatOf(it, roster, atMs) }
        }
        return local + remote
    }

    private fun heartbeatOf(member: RosterMember, roster: Roster, heardAtMs: Long) = Heartbeat(
        id = InstanceId(member.id),
        incarnation = member.incarnation,
        region = roster.region,
        dataCentre = roster.dataCentre,
        peerAddress = member.peerAddress,
        isLeaving = member.isLeaving,
        heardAtMs = heardAtMs,
    )

    private fun heartbeatRows(): List<Pair<VersionedRow, HeartbeatBody>> =
        rows.rows(RowTopic.MEMBER).mapNotNull { row -> decodeOrNull(row, HeartbeatBody.serializer())?.let { row to it } }
            .filter { it.second.dataCentre == self.dataCentre }

    private fun summaries() = latestPerDataCentre(SUMMARY_ROW, DataCentreSummary.serializer()) { it.dataCentre }

    // Two instances may both consider themselves the first delegate for a short time; the most recent row is used.
    private fun <T : Any> latestPerDataCentre(name: String, type: DeserializationStrategy<T>, dataCentre: (T) -> String) =
        rows.rows(RowTopic.DATA_CENTRE).filter { it.key.name == name }
            .mapNotNull { row -> decodeOrNull(row, type)?.let { row to it } }
            .filter { dataCentre(it.second) != self.dataCentre }
            .groupBy { dataCentre(it.second) }.values
            .map { candidates -> candidates.maxBy { it.first.publishedAtMs } }

    private fun <T : Any> decodeOrNull(row: VersionedRow, type: DeserializationStrategy<T>): T? = try {
        peerCbor.decodeFromByteArray(type, row.body)
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val SUMMARY_PERIOD_MS = 1_000L
        const val ROSTER_PERIOD_MS = 10_000L

        // A summary is up to 1 s old and arrives over several exchanges. This delay must not count as silence of the instances it
        // covers.
        const val REMOTE_DELAY_ALLOWANCE_MS = 2_000L
    }
}
