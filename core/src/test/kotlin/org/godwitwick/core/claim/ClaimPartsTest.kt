package org.godwitwick.core.claim

import com.github.michaelbull.result.getError
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNull

class ClaimPartsTest {
    /** Guards against keys whose age cannot be determined. */
    @Test
    fun `only a UUIDv7 is accepted as a key and its creation time is decoded`() {
        val key = IdempotencyKey.parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")
        expectThat(key?.createdAtMs).isEqualTo(0x017F22E279B0)
        listOf("", "booking-1", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f").forEach {
            expectThat(IdempotencyKey.parse(it)).isNull()
        }
    }

    /** Guards against appending claims for keys that are certain to be refused. */
    @Test
    fun `a missing, malformed, expired or future key is refused with the matching error kind`() {
        fun kindOf(text: String?) = checkKey(text, LIMITS, START_MS).getError()?.kind
        expectThat(kindOf(null)).isEqualTo(ErrorKind.KEY_REQUIRED)
        expectThat(kindOf("booking-1")).isEqualTo(ErrorKind.BAD_REQUEST)
        expectThat(kindOf(keyAt(START_MS - LIMITS.windowMs - 1).value)).isEqualTo(ErrorKind.KEY_EXPIRED)
        expectThat(kindOf(keyAt(START_MS + MAX_KEY_CLOCK_SKEW_MS + 1).value)).isEqualTo(ErrorKind.BAD_REQUEST)
        expectThat(kindOf(keyAt(START_MS).value)).isNull()
    }

    /** Guards against a record format that loses data, and against an exception on data that is not a record. */
    @Test
    fun `a batch is encoded and decoded without loss and malformed data is rejected`() {
        val entries = listOf(claim("1"), notRun(claim("2")), UnknownEntry(ClaimId("3"), claimKey()))
        expectThat(ClaimRecordCodec.decode(ClaimRecordCodec.encode(entries))).isEqualTo(entries)
        val outcome = ClaimRecordCodec.decode(ClaimRecordCodec.encode(listOf(outcome(claim("1")))))?.single() as OutcomeEntry
        expectThat(outcome.outcome.body?.decodeToString()).isEqualTo("done")
        listOf(byteArrayOf(), byteArrayOf(1), byteArrayOf(1, 2, 3), byteArrayOf(9)).forEach {
            expectThat(ClaimRecordCodec.decode(it)).isNull()
        }
    }

    /** Guards against a change of the hash between versions, which would map keys to other streams. */
    @Test
    fun `a key maps to the same stream in every version`() {
        expectThat(ClaimShards().streamOf(claimKey())).isEqualTo("claims-order-desk-30")
        expectThat(ClaimShards().streamOf(claimKey(organisation = "bakery"))).isEqualTo("claims-order-desk-16")
    }

    /** Guards against reassigning shards whose owner is still available, and against one instance owning all shards. */
    @Test
    fun `the loss of an owner reassigns only its shards`() {
        val shards = ClaimShards()
        val all = (1..6).map { InstanceId("entry-$it") }
        val streams = (0 until shards.count).map { shards.streamOf("order-desk", it) }
        val before = streams.associateWith { shards.ownerOf(it, all) }
        val left = all - InstanceId("entry-3")
        streams.filter { before[it] != InstanceId("entry-3") }
            .forEach { expectThat(shards.ownerOf(it, left.shuffled())).isEqualTo(before[it]) }
        before.values.groupingBy { it }.eachCount().values.forEach { expectThat(it).isIn(1..12) }
        expectThat(shards.ownerOf("claims-order-desk-0", emptyList())).isNull()
    }

    /** Guards against delaying an isolated append, and against exceeding the rate limit under load. */
    @Test
    fun `appends are delayed only beyond the burst and the rate`() {
        val limiter = AppendRateLimiter(perSecond = 10.0, burst = 2)
        expectThat(List(3) { limiter.acquireOrWaitMs(START_MS) }).isEqualTo(listOf(0L, 0L, 100L))
        expectThat(limiter.acquireOrWaitMs(START_MS + 50)).isEqualTo(50L)
        expectThat(limiter.acquireOrWaitMs(START_MS + 100)).isEqualTo(0L)
        val taken = (0 until 10_000).count { limiter.acquireOrWaitMs(START_MS + 100 + it) == 0L }
        expectThat(taken).isIn(99..101)
    }
}
