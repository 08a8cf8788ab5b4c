package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEqualTo

class FeedSourceSelectorTest {
    private val fleet = (1..60).associate { InstanceId("entry-$it") to "dc-${it % 3}" }
    private val plan = ReaderPlan.of(fleet)
    private val follower = fleet.keys.first { !plan.isReader(it) && fleet[it] == "dc-1" }
    private val selector = FeedSourceSelector(follower, "dc-1")
    private val sources = plan.sourcesOf(follower, "dc-1")

    private val readers = plan.readers.values.flatten()

    private fun next(nowMs: Long) = selector.next(plan, nowMs)

    private fun readerAt(nowMs: Long) = (next(nowMs) as FeedSource.Reader).id

    @Test
    fun `a reader may long-poll only after it has given a fresh answer`() {
        expectThat(next(0)).isEqualTo(FeedSource.Reader(sources[0], mayLongPoll = false))
        selector.onFreshAnswer(sources[0])
        expectThat(next(1)).isEqualTo(FeedSource.Reader(sources[0], mayLongPoll = true))
    }

    // Guards against a follower that keeps asking a crashed or suspended reader.
    @Test
    fun `a reader that does not answer is avoided immediately and asked again later`() {
        selector.onFreshAnswer(sources[0])
        selector.onNoAnswer(sources[0], nowMs = 0)
        expectThat(next(1)).isEqualTo(FeedSource.Reader(sources[1], mayLongPoll = false))
        expectThat(next(3_000)).isEqualTo(FeedSource.Reader(sources[0], mayLongPoll = false))
    }

    // Guards against a reader that is cut off from the store but still answers.
    @Test
    fun `a reader that returns stale data is avoided immediately`() {
        selector.onFreshAnswer(sources[0])
        selector.onStaleAnswer(sources[0], nowMs = 0)
        expectThat(readerAt(1)).isEqualTo(sources[1])
    }

    // Guards against a fleet that overloads a failing store: each follower may call it at most once per second.
    @Test
    fun `without a usable reader a follower reads the store and waits for more than a second after a failure`() {
        sources.forEach { selector.onNoAnswer(it, nowMs = 0) }
        expectThat(next(1)).isEqualTo(FeedSource.Store)
        selector.onStoreFailed(plan, nowMs = 10, draw = 0.5)
        expectThat(next(11)).isA<FeedSource.None>().get { untilMs }.isGreaterThanOrEqualTo(1_010)
        expectThat(next(1_600)).isEqualTo(FeedSource.Store)
    }

    @Test
    fun `while no source is usable the follower waits for the reader or store that is usable first`() {
        sources.forEach { selector.onStaleAnswer(it, nowMs = 100) }
        selector.onStoreFailed(plan, nowMs = 100, draw = 0.0)
        expectThat(next(101)).isEqualTo(FeedSource.None(500))
    }

    // Guards against valid keys being refused at a reader that the store refuses while it serves the other instances.
    @Test
    fun `a reader that the store refuses asks other readers and soon retries the store`() {
        val reader = readers.first { plan.activeReadersFor(it).isEmpty() }
        val selector = FeedSourceSelector(reader, fleet.getValue(reader))
        expectThat(selector.next(plan, 0)).isEqualTo(FeedSource.Store)
        selector.onStoreFailed(plan, nowMs = 0, draw = 0.0)
        expectThat(selector.next(plan, 1)).isA<FeedSource.Reader>().get { id }.isNotEqualTo(reader)
        expectThat(selector.next(plan, 400)).isEqualTo(FeedSource.Store)
    }

    // Guards against standbys that all read the store at each of its reads, and against one that has no source when both readers ahead
    // of it are lost.
    @Test
    fun `a standby asks the readers ahead of it and reads the store while both are avoided`() {
        val standby = readers.single { plan.activeReadersFor(it).size == 2 }
        val ahead = plan.activeReadersFor(standby)
        val selector = FeedSourceSelector(standby, fleet.getValue(standby))
        expectThat(selector.next(plan, 0)).isEqualTo(FeedSource.Reader(ahead[0], mayLongPoll = false, isForStandby = true))
        selector.onNoAnswer(ahead[0], nowMs = 0)
        expectThat(selector.next(plan, 1)).isEqualTo(FeedSource.Reader(ahead[1], mayLongPoll = false, isForStandby = true))
        selector.onStaleAnswer(ahead[1], nowMs = 1)
        expectThat(selector.next(plan, 2)).isEqualTo(FeedSource.Store)
        expectThat(selector.next(plan, 401)).isEqualTo(FeedSource.Reader(ahead[1], mayLongPoll = false, isForStandby = true))
    }

    @Test
    fun `an instance of a small fleet reads only the store`() {
        val direct = ReaderPlan.of(fleet.entries.take(6).associate { it.toPair() })
        expectThat(selector.next(direct, 0)).isEqualTo(FeedSource.Store)
        selector.onStoreFailed(direct, nowMs = 0, draw = 0.0)
        expectThat(selector.next(direct, 1)).isA<FeedSource.None>()
        expectThat(selector.next(direct, 400)).isEqualTo(FeedSource.Store)
    }
}
