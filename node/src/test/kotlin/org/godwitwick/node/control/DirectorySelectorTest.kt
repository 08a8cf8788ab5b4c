package org.godwitwick.node.control

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.model.RequestId
import org.godwitwick.core.placement.LoadReport
import org.godwitwick.node.upstream.DispatchEnd
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class DirectorySelectorTest {
    private val directory = ReplicaDirectory("tn-north", "a").apply {
        onList((0..2).map { ListedInstance(InstanceId("e$it"), ListedKind.ENGINE, "menu", "h:$it", null, "tn-north", "a") })
    }
    private val sent = SentRows(directory)
    private val selector = DirectorySelector(directory, sent, seed = 1)

    private fun request(id: String) =
        GenerateRequest(RequestId(id), OrganisationId("o"), "menu", "x".repeat(8_000), 10, PromptClass.SHORT, Deadline(60_000))

    private fun report(atMs: Long, isLeaving: Boolean = false) =
        LoadReport("i", atMs, listOf(0, 0, 0, 0), 400_000, 400_000, 20_000.0, isLeaving)

    // Guards against new work for a replica that reports that it is leaving while the instance list still shows it as live.
    @Test
    fun `a replica that reports that it is leaving gets no new work`() {
        directory.onReport(InstanceId("e1"), report(0, isLeaving = true), 0)
        val chosen = (1..50).mapNotNull { selector.select(request("r$it"), setOf(InstanceId("e0")), 10).get()?.id?.value }
        expectThat(chosen.toSet()).isEqualTo(setOf("e2"))
    }

    // Guards against peers that all choose the same replica between two reports, and against work that is counted twice when its
    // row is repeated.
    @Test
    fun `a repeated row of a peer adds its work once`() {
        val peer = ReplicaDirectory("tn-north", "a").apply {
            onList(listOf(checkNotNull(directory.tracked(InstanceId("e0"))).listed))
        }
        val peerRows = SentRows(peer)
        DirectorySelector(peer, peerRows, seed = 2).select(request("r1"), emptySet(), 100)
        val row = peerRows.encode(200)
        repeat(2) { sent.accept(InstanceId("n2"), row, 300) }
        expectThat(directory.tracked(InstanceId("e0"))?.load?.sent?.sumOf { it.prefillTokens }).isEqualTo(2_000L)
        sent.accept(InstanceId("n2"), byteArrayOf(1, 2, 3), 400)
    }

    // Guards against a count of outstanding requests that becomes wrong when an end is reported twice or without a first token.
    @Test
    fun `a repeated end releases the dispatched work once`() {
        val id = checkNotNull(selector.select(request("r1"), emptySet(), 0).get()).id
        repeat(2) { selector.onEnd(id, request("r1"), DispatchEnd.BROKEN, 10) }
        val load = checkNotNull(directory.tracked(id)).load
        expectThat(load.outstanding).isEqualTo(0)
        expectThat(load.waitingTokens).isEqualTo(0L)
    }

    // Guards against the selection of an excluded replica when no other replica is left.
    @Test
    fun `no replica is chosen when all are excluded`() {
        val answer = selector.select(request("r1"), (0..2).map { InstanceId("e$it") }.toSet(), 0)
        expectThat(answer.get()).isNull()
        expectThat(answer.getError()?.kind).isEqualTo(ErrorKind.NO_UPSTREAM)
    }

    // Guards against rows that are too large to be exchanged between all instances, or that lose data needed for placement.
    @Test
    fun `a load row encodes a report in less than 32 bytes`() {
        val ids = (0..99).map { InstanceId("engine-$it") }
        val own =
            LoadReport("i7", 9_990, listOf(640, 0, 64_000, 0), 123_000, 400_000, 20_000.0, isLeaving = true, heldTokens = 5_000)
        directory.onList(ids.map { ListedInstance(it, ListedKind.ENGINE, "menu", "h", null, "tn-north", "a") })
        val row = LoadRows(directory) { ids.associateWith { own } }.encode(10_000)
        LoadRows(directory) { emptyMap() }.accept(InstanceId("n2"), row, 10_100)
        expectThat(row.size / ids.size).isLessThan(32)
        expectThat(directory.tracked(ids[42])?.load?.report?.copy(incarnation = "i7")).isEqualTo(own)
        expectThat(directory.tracked(ids[42])?.isOpen).isEqualTo(false)
    }
}
