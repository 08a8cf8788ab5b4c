package org.godwitwick.node.forward

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Tests standby readers in model time, with the shortest bounds of a deployment and registrations that are renewed all the time. */
internal class StandbyReaderTest {
    private enum class Feed(val pacing: FeedPacing) {
        CONFIG(FeedPacings.ofOperator(REVOCATION_MS, BOUND_MS, evacuationMs = BOUND_MS)),
        UPSTREAMS(FeedPacings.ofUpstreams(BOUND_MS)),
    }

    /** What happens at the moment at which a record is written. */
    enum class Loss(val apply: ModelFleet.() -> Unit) {
        NONE({}),
        READER_ENDS({ time.suspended.add(readers[0]) }),
        TWO_READERS_END({ time.suspended.addAll(readers.take(2)) }),
        READER_REFUSED({ refused.add(readers[0]) }),
        TWO_READERS_REFUSED({ refused.addAll(readers.take(2)) }),
        READER_CUT_OFF({ cutOff.add(readers[0]) }),
        READER_SILENT({ instances.getValue(readers[0]).silence() }),
        ALL_SILENT({
            instances.values.forEach { it.silence() }
            linksSilentUntilMs = time.nowMs + LINK_RENEWAL_MS
        }),
    }

    private fun fleetOf(feed: Feed) = ModelFleet(feed.pacing).apply {
        // Each of 22 upstreams renews its registration every 1.2 s.
        if (feed == Feed.UPSTREAMS) appendEvery(periodMs = 55)
        time.advance(SETTLING_MS)
    }

    // Guards against a leaving upstream that gets new work, or a configuration that is not in force, after the bound, because the only
    // instance that reads the store was lost, refused or silent when the record was written. Also guards against keys that are refused
    // because the proofs become too old meanwhile.
    @ParameterizedTest
    @EnumSource
    fun `all instances know a record within the bound after a loss at the same moment`(loss: Loss) =
        Feed.entries.forEach { feed ->
            fleetOf(feed).use { fleet -> repeat(ROUNDS) { round -> fleet.checkBound("$feed $loss $round", loss) } }
        }

    private fun ModelFleet.checkBound(change: String, loss: Loss) {
        // Writes at different moments between two reads.
        time.advance(ROUND_STEP_MS)
        loss.apply(this)
        put(change)
        var oldestProofMs = 0L
        repeat((BOUND_MS / TICK_MS).toInt()) {
            time.advance(TICK_MS)
            oldestProofMs = maxOf(oldestProofMs, live.maxOf { time.nowMs - it.provenAtMs })
        }
        expectThat(live.filter { it.value != change }.map { it.id }).describedAs("instances that do not know $change").isEmpty()
        expectThat(oldestProofMs).describedAs("age of the oldest proof, $change").isLessThanOrEqualTo(MAX_PROOF_AGE_MS)
        time.suspended.clear()
        refused.clear()
        cutOff.clear()
        time.advance(SETTLING_MS)
    }

    // Guards against standbys that read the store at each read of the active reader, which would triple the calls.
    @Test
    fun `in a quiet fleet one reader reads the store twice a second`() = Feed.entries.forEach { feed ->
        fleetOf(feed).use { fleet ->
            val before = fleet.calls
            fleet.time.advance(20_000)
            expectThat((fleet.calls - before) / 20.0).describedAs("calls a second of $feed").isLessThan(2.1)
        }
    }

    // Guards against a fleet of two versions in which a standby passes on proofs that its followers find too old, and these read the store.
    @Test
    fun `beside readers of an earlier version the bounds hold with no more calls than theirs`() = Feed.entries.forEach { feed ->
        for (isActive in listOf(true, false)) {
            val fleet =
                ModelFleet(feed.pacing) { plan, id -> plan.isReader(id) && plan.activeReadersFor(id).isEmpty() == isActive }
            fleet.use {
                if (feed == Feed.UPSTREAMS) fleet.appendEvery(periodMs = 55)
                fleet.time.advance(SETTLING_MS)
                val before = fleet.calls
                repeat(ROUNDS) { round -> fleet.checkBound("$feed $round", Loss.NONE) }
                val seconds = ROUNDS * (ROUND_STEP_MS + BOUND_MS + SETTLING_MS) / 1e3
                expectThat((fleet.calls - before) / seconds).describedAs("calls a second of $feed").isLessThan(7.0)
            }
        }
    }

    private companion object {
        const val BOUND_MS = 2_000L
        const val REVOCATION_MS = 5_000L

        /** The silence of all connections takes the time after which a link is renewed. */
        const val MAX_PROOF_AGE_MS = 3_000L
        const val LINK_RENEWAL_MS = 2_500L
        const val SETTLING_MS = 6_000L
        const val ROUNDS = 12
        const val ROUND_STEP_MS = 83L
        const val TICK_MS = 10L
    }
}
