package org.godwitwick.node.formats

import com.github.michaelbull.result.get
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimId
import org.godwitwick.core.claim.ClaimKey
import org.godwitwick.core.claim.ClaimRecordCodec
import org.godwitwick.core.claim.IdempotencyKey
import org.godwitwick.core.claim.NotRunEntry
import org.godwitwick.core.claim.Outcome
import org.godwitwick.core.claim.OutcomeEntry
import org.godwitwick.core.claim.OutcomeHeader
import org.godwitwick.core.claim.UnknownEntry
import org.godwitwick.core.config.ConfigChange
import org.godwitwick.core.config.ConfigEntry
import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.ConfigScope
import org.godwitwick.core.config.ConfigSnapshot
import org.godwitwick.core.config.EntryConflict
import org.godwitwick.core.config.HistoryEntry
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.PublicationOutcome
import org.godwitwick.core.config.decodeConfigRecord
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.core.health.EngineDeath
import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.health.RequestTrait
import org.godwitwick.core.health.SuspicionRow
import org.godwitwick.core.health.TraitRow
import org.godwitwick.core.membership.RowReach
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.orders.OrderKind
import org.godwitwick.core.orders.OrderRecord
import org.godwitwick.core.orders.OrderSlot
import org.godwitwick.node.control.DemandRow
import org.godwitwick.node.control.LoadRow
import org.godwitwick.node.control.RowCodec
import org.godwitwick.node.control.SentInterval
import org.godwitwick.node.control.SentRow
import org.godwitwick.node.peer.BehindMember
import org.godwitwick.node.peer.ClaimAnswer
import org.godwitwick.node.peer.ClaimReport
import org.godwitwick.node.peer.ClaimReportAnswer
import org.godwitwick.node.peer.ClaimRequest
import org.godwitwick.node.peer.ClaimRuling
import org.godwitwick.node.peer.ConfigNotice
import org.godwitwick.node.peer.ConfigPull
import org.godwitwick.node.peer.ConfigPullAnswer
import org.godwitwick.node.peer.DataCentreSummary
import org.godwitwick.node.peer.Exchange
import org.godwitwick.node.peer.ExchangeAnswer
import org.godwitwick.node.peer.FeedAnswer
import org.godwitwick.node.peer.FeedPull
import org.godwitwick.node.peer.FeedRecords
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.FrameCodec
import org.godwitwick.node.peer.FrameHeader
import org.godwitwick.node.peer.FrameKind
import org.godwitwick.node.peer.HeartbeatBody
import org.godwitwick.node.peer.LoadScope
import org.godwitwick.node.peer.MembersAnswer
import org.godwitwick.node.peer.MembersPull
import org.godwitwick.node.peer.PeerMessage
import org.godwitwick.node.peer.QuarantineRows
import org.godwitwick.node.peer.Roster
import org.godwitwick.node.peer.RosterMember
import org.godwitwick.node.peer.RowPush
import org.godwitwick.node.peer.StatementRow
import org.godwitwick.node.peer.WireRecord
import org.godwitwick.node.peer.WireRow
import org.godwitwick.node.peer.peerCbor

/**
 * A sample of a format that instances of different versions share.
 *
 * @property name name of the format, and of the file with the recorded sample.
 * @property written the sample as the present code writes it.
 * @property rewrite reads a sample and writes it again.
 */
class RecordedFormat(val name: String, val written: ByteArray, val rewrite: (ByteArray) -> ByteArray)

/** All formats of the modules `core` and `node` whose samples are recorded. */
internal val recordedFormats: List<RecordedFormat> by lazy {
    frames() + messages() + rows() + controlRows() + claimRecords() + configRecords() + orders()
}

private val codec = FrameCodec("secret".toByteArray(), maxFrameBytes = 10_000)

private fun frames() = listOf("SEND", "REQUEST", "ANSWER", "NO_ANSWER", "PING", "PONG").map { kind ->
    val header = FrameHeader("a", "b", 5, 7, 1_000, FrameKind(kind), 9)
    RecordedFormat("frame-$kind", checkNotNull(codec.encode(header, "body".toByteArray()).get())) { bytes ->
        val frame = checkNotNull(codec.decode(bytes).get())
        checkNotNull(codec.encode(frame.header, frame.body).get())
    }
}

private fun messages(): List<RecordedFormat> {
    val traits = listOf(
        TraitRow(RequestTrait.ofPart("p1"), mapOf("e1/7" to 120L, "e2/8" to 40L), soundAgeMs = 10),
        TraitRow(RequestTrait("request:00ff"), mapOf("e1/7" to 120L)),
    )
    val snapshot = encodeConfigRecord(ConfigRecord.Snapshot(snapshot()))
    return listOf(
        "config-pull" to ConfigPull(3),
        "config-answer" to ConfigPullAnswer(4, listOf(WireRecord(3, 1_000, byteArrayOf(1, 2))), null, 4, 20),
        "config-answer-snapshot" to ConfigPullAnswer(4, emptyList(), snapshot, 4, 20),
        "config-notice" to ConfigNotice(4),
        "feed-pull" to FeedPull("config", 12, 900, era = 3),
        "feed-answer" to FeedAnswer(byteArrayOf(1, 2, 3), true, 13, -40, true, regainedLeadMs = -900, era = 3),
        "members-pull" to MembersPull(7, era = 3),
        "members-answer" to MembersAnswer(
            7,
            listOf("entry-1", "entry-2"),
            listOf("north", "south"),
            listOf("127.0.0.1:1", "127.0.0.1:2"),
            era = 3,
            callerAddresses = listOf("127.0.0.1:3", ""),
        ),
        "load-instance" to load(LoadScope.INSTANCE, 1, ""),
        "load-data-centre" to load(LoadScope.DATA_CENTRE, 4, "north"),
        "load-fleet" to load(LoadScope.FLEET, 9, ""),
        "quarantines" to QuarantineRows(traits),
        "statement-limit" to StatementRow("d1/7", 2.5, 30),
        "statement-no-limit" to StatementRow("d1/7", null, 30),
        "statement-leaving" to StatementRow("d1/7", null, 30, isLeaving = true),
        "exchange-data-centre" to Exchange(RowReach.DATA_CENTRE, longArrayOf(1, -2), longArrayOf(3, 4)),
        "exchange-fleet" to Exchange(RowReach.FLEET, longArrayOf(1, -2), longArrayOf(3, 4)),
        "exchange-answer" to ExchangeAnswer(listOf(row()), longArrayOf(5)),
        "row-push" to RowPush(listOf(row()), isUrgent = true),
        "claim-request" to ClaimRequest(claim(), 800),
        "claim-report" to ClaimReport(NotRunEntry(ClaimId("c1"), claimKey()), 800),
        "claim-report-answer" to ClaimReportAnswer(ClaimId("c1"), isAppended = true),
        "claim-answer-granted" to ClaimAnswer(ClaimId("c1"), ClaimRuling.Granted(4)),
        "claim-answer-replay" to ClaimAnswer(ClaimId("c1"), ClaimRuling.Replay(outcome())),
        "claim-answer-pending" to ClaimAnswer(ClaimId("c1"), ClaimRuling.Pending),
        "claim-answer-outcome-unknown" to ClaimAnswer(ClaimId("c1"), ClaimRuling.OutcomeUnknown),
        "claim-answer-mismatch" to ClaimAnswer(ClaimId("c1"), ClaimRuling.Mismatch),
        "claim-answer-expired" to ClaimAnswer(ClaimId("c1"), ClaimRuling.Expired),
        "claim-answer-from-future" to ClaimAnswer(ClaimId("c1"), ClaimRuling.FromFuture),
        "claim-answer-log-unavailable" to ClaimAnswer(ClaimId("c1"), ClaimRuling.LogUnavailable("no answer", true)),
    ).map { (name, message) -> cborFormat("message-$name", PeerMessage.serializer(), message) }
}

private fun load(scope: LoadScope, instances: Int, dataCentre: String) = ForwardLoad(
    1_000,
    listOf(ForwardLoad.keyOf(InstanceId("e1")), ForwardLoad.keyOf(InstanceId("e2"))),
    listOf(120, 0),
    listOf(3, 1),
    listOf(1, 0),
    listOf(0, 1),
    listOf(40, 2),
    instances,
    scope,
    dataCentre,
)

private fun row() = WireRow(2, "entry-1", "load", 77, 250, byteArrayOf(1, 2))

private fun rows() = listOf(
    cborFormat("row-heartbeat", HeartbeatBody.serializer(), HeartbeatBody("eu", "north", "127.0.0.1:1", true, 4, true)),
    cborFormat("row-heartbeat-no-address", HeartbeatBody.serializer(), HeartbeatBody("eu", "north", null, false, -1, false)),
    cborFormat(
        "row-summary",
        DataCentreSummary.serializer(),
        DataCentreSummary("eu", "north", 3, 2, 4, listOf(BehindMember("entry-1", 3))),
    ),
    cborFormat(
        "row-roster",
        Roster.serializer(),
        Roster("eu", "north", listOf(RosterMember("entry-1", 5, "127.0.0.1:1", false), RosterMember("entry-2", 6, null, true))),
    ),
    cborFormat(
        "feed-records",
        FeedRecords.serializer(),
        FeedRecords(listOf("config", "d1"), listOf("{}".toByteArray(), ByteArray(0))),
    ),
)

private fun controlRows(): List<RecordedFormat> {
    val death = EngineDeath(InstanceId("e1"), "i7", "north", "rack-1", 1_000)
    val suspicion = SuspicionRow(
        InstanceId("entry-1"),
        Fingerprint("00ff"),
        3,
        listOf(death),
        listOf("e1/i7"),
        runsOn = InstanceId("e2"),
        clearedAtMs = 900,
    )
    val interval = SentInterval(900, 1_000, listOf("e1"), listOf(2), listOf(700L), listOf(800L), listOf(1))
    return listOf(
        rowFormat(
            "row-load",
            LoadRow.serializer(),
            LoadRow(
                1_000,
                listOf(7),
                listOf(-3),
                listOf(2),
                listOf(1, 2, 3, 4),
                listOf(5),
                listOf(6),
                listOf(9),
                listOf(8),
                listOf(0),
            ),
        ),
        rowFormat("row-sent", SentRow.serializer(), SentRow(listOf(interval))),
        rowFormat("row-demand", DemandRow.serializer(), DemandRow(1_000, 3, 500, 1, "north", listOf("o1"), listOf(500L))),
        rowFormat("row-suspicion", ListSerializer(SuspicionRow.serializer()), listOf(suspicion)),
    )
}

private fun claimKey() =
    ClaimKey(OrganisationId("o1"), "desk", checkNotNull(IdempotencyKey.parse("01890a5d-ac96-774b-bcce-b302099a8057")))

private fun claim() = Claim(ClaimId("c1"), claimKey(), "hash", InstanceId("entry-1"), 800)

private fun outcome() = Outcome(201, listOf(OutcomeHeader("Content-Type", "text/plain")), "done".toByteArray())

private fun claimRecords(): List<RecordedFormat> {
    val id = ClaimId("c1")
    val entries: List<ClaimEntry> = listOf(
        claim(),
        OutcomeEntry(id, claimKey(), outcome()),
        OutcomeEntry(id, claimKey(), Outcome(200, emptyList(), null)),
        NotRunEntry(id, claimKey()),
        UnknownEntry(id, claimKey()),
    )
    return listOf("claim-record" to entries, "claim-record-empty" to emptyList()).map { (name, content) ->
        RecordedFormat(name, ClaimRecordCodec.encode(content)) {
            ClaimRecordCodec.encode(checkNotNull(ClaimRecordCodec.decode(it)))
        }
    }
}

private fun publication() = Publication(
    "p1",
    "maarja",
    1_000,
    "season",
    listOf(
        ConfigChange("admission.queueMax", ConfigScope("model:m"), JsonPrimitive(9), expectedVersion = 2),
        ConfigChange("fairness.weight"),
    ),
)

private fun snapshot(): ConfigSnapshot {
    val entry = ConfigEntry("admission.queueMax", ConfigScope("model:m"), JsonPrimitive(9), 3, "p1", "maarja", 1_000, "season")
    val removed = entry.copy(name = "fairness.weight", scope = ConfigScope.FLEET, value = null)
    val conflict = EntryConflict("fairness.weight", ConfigScope.FLEET, 1, 2, "maarja", "p0")
    return ConfigSnapshot(
        5,
        listOf(entry, removed),
        listOf(
            HistoryEntry(3, 1_100, publication(), PublicationOutcome.Accepted),
            HistoryEntry(4, 1_200, publication().copy(id = "p2"), PublicationOutcome.Conflict(listOf(conflict))),
            HistoryEntry(
                5,
                1_300,
                publication().copy(id = "p3"),
                PublicationOutcome.Invalid(listOf(ConfigFault("fairness.weight", "x", "a fraction"))),
            ),
        ),
        snapshotOffset = 2,
        snapshotTimeMs = 1_050,
    )
}

private fun configRecords() = listOf(
    "config-publication" to ConfigRecord.Published(publication()),
    "config-snapshot" to ConfigRecord.Snapshot(snapshot()),
).map { (name, record) ->
    RecordedFormat(name, encodeConfigRecord(record)) { encodeConfigRecord(checkNotNull(decodeConfigRecord(it))) }
}

private fun orders() = OrderKind.entries.map { kind ->
    val record = OrderRecord("o1", OrderSlot(InstanceId("e1"), kind, "m"), "v2", replaces = 4)
    RecordedFormat("order-${kind.name}", Json.encodeToString(record).toByteArray()) { bytes ->
        Json.encodeToString(Json.decodeFromString<OrderRecord>(bytes.decodeToString())).toByteArray()
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun <T> cborFormat(name: String, serializer: KSerializer<T>, sample: T) =
    RecordedFormat(name, peerCbor.encodeToByteArray(serializer, sample)) { bytes ->
        peerCbor.encodeToByteArray(serializer, peerCbor.decodeFromByteArray(serializer, bytes))
    }

private fun <T> rowFormat(name: String, serializer: KSerializer<T>, sample: T) =
    RecordedFormat(name, RowCodec.encode(serializer, sample)) { bytes ->
        RowCodec.encode(serializer, checkNotNull(RowCodec.decode(serializer, bytes)))
    }
