package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEqualTo

class FeedSourceChoiceTest {
    private val fleet = (1..60).associate { InstanceId("entry-$it") to "dc-${it % 3}" }
    private val plan = ReaderPlan.of(fleet)
    private val follower = fleet.keys.first { !plan.isReader(it) && fleet[it] == "dc-1" }
    private val choice = FeedSourceChoice(follower, "dc-1")
    private val sources = plan.sourcesOf(follower, "dc-1")

    private fun next(nowMs: Long) = choice.next(plan, nowMs)

    private fun readerAt(nowMs: Long) = (next(nowMs) as FeedSource.Reader).id

    @Test
    fun `a reader may hold a question only after it has answered one well`() {
        expectThat(next(0)).isEqualTo(FeedSource.Reader(sources[0], mayHold = false))
        choice.onFresh(sources[0])
        expectThat(next(1)).isEqualTo(FeedSource.Reader(sources[0], mayHold = true))
    }

    // Guards against a follower that stays with a dead or frozen reader.
    @Test
    fun `a silent reader is left at once and asked again later`() {
        choice.onFresh(sources[0])
        choice.onSilent(sources[0], nowMs = 0)
        expectThat(next(1)).isEqualTo(FeedSource.Reader(sources[1], mayHold = false))
        expectThat(next(3_000)).isEqualTo(FeedSource.Reader(sources[0], mayHold = false))
    }

    // Guards against a reader that is cut off from the store and answers all the same.
    @Test
    fun `a reader with old knowledge is left at once`() {
        choice.onFresh(sources[0])
        choice.onOld(sources[0], nowMs = 0)
        expectThat(readerAt(1)).isEqualTo(sources[1])
    }

    // Guards against a fleet that loads a store in trouble: at most one call a second from each follower.
    @Test
    fun `without any reader the follower reads the store, and after a failure waits for more than a second`() {
        sources.forEach { choice.onSilent(it, nowMs = 0) }
        expectThat(next(1)).isEqualTo(FeedSource.Store)
        choice.onStoreFailed(plan, nowMs = 10, draw = 0.5)
        expectThat(next(11)).isA<FeedSource.None>().get { untilMs }.isGreaterThanOrEqualTo(1_010)
        expectThat(next(1_600)).isEqualTo(FeedSource.Store)
    }

    @Test
    fun `while nothing may be asked the follower waits for the first of the readers and the store`() {
        sources.forEach { choice.onOld(it, nowMs = 100) }
        choice.onStoreFailed(plan, nowMs = 100, draw = 0.0)
        expectThat(next(101)).isEqualTo(FeedSource.None(500))
    }

    // Guards against keys that are refused at an instance which the store refuses while it serves the others.
    @Test
    fun `a reader that the store refuses asks the other readers and soon the store again`() {
        val reader = plan.readers.getValue("dc-1").first()
        val choice = FeedSourceChoice(reader, "dc-1")
        expectThat(choice.next(plan, 0)).isEqualTo(FeedSource.Store)
        choice.onStoreFailed(plan, nowMs = 0, draw = 0.0)
        expectThat(choice.next(plan, 1)).isA<FeedSource.Reader>().get { id }.isNotEqualTo(reader)
        expectThat(choice.next(plan, 400)).isEqualTo(FeedSource.Store)
    }

    @Test
    fun `an instance of a small fleet has only the store`() {
        val direct = ReaderPlan.of(fleet.entries.take(6).associate { it.toPair() })
        expectThat(choice.next(direct, 0)).isEqualTo(FeedSource.Store)
        choice.onStoreFailed(direct, nowMs = 0, draw = 0.0)
        expectThat(choice.next(direct, 1)).isA<FeedSource.None>()
        expectThat(choice.next(direct, 400)).isEqualTo(FeedSource.Store)
    }
}
