package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn

class ShareOrderTest {
    private fun order(recentMs: Map<Int, Double>, vararg prompts: WaitingPrompt): List<WaitingPrompt> =
        ShareOrder.order(prompts.toList(), { it }, recentMs).map { it.item }

    private fun prompt(organisation: Int, targetAtMs: Long = 1_000, level: Int = 0, workMs: Double = 1_000.0) =
        WaitingPrompt(level, organisation, workMs, targetAtMs)

    // Guards against a share that precedes the rank, and against a target that precedes the share.
    @Test
    fun `level precedes use, and use precedes the time left`() {
        val urgent = prompt(BIG, targetAtMs = 9_000)
        val small = prompt(SMALL, targetAtMs = 8_000, level = 1)
        val big = prompt(BIG, targetAtMs = 100, level = 1)
        val bigLater = prompt(BIG, targetAtMs = 200, level = 1)
        val recent = mapOf(BIG to 5_000.0, SMALL to 1_000.0)
        expectThat(order(recent, bigLater, big, small, urgent)).isEqualTo(listOf(urgent, small, big, bigLater))
    }

    @Test
    fun `an organisation without recent work waits behind none that has some`() {
        val newcomer = prompt(NEW, targetAtMs = 9_000)
        listOf(20.0, 500.0, 50_000.0).forEach { used ->
            val other = prompt(SMALL, targetAtMs = 1)
            expectThat(order(mapOf(SMALL to used, BIG to 1e6), other, newcomer)).isEqualTo(listOf(newcomer, other))
        }
    }

    // Guards against an organisation that gets ahead by sending many prompts at once.
    @Test
    fun `many prompts of one organisation do not all go before one of another`() {
        val many = (1L..10L).map { prompt(NEW, targetAtMs = it) }
        val one = prompt(SMALL, targetAtMs = 100)
        val ordered = order(mapOf(SMALL to 500.0, BIG to 500.0), *many.toTypedArray(), one)
        expectThat(ordered.indexOf(one)).isEqualTo(1)
    }

    /** A queue of one instance before engines that take one prompt at a time. */
    private class Instance(private val known: () -> Map<Int, Double>) {
        val own = RecentWork()
        val served = HashMap<Int, Double>()
        val refused = HashMap<Int, Int>()
        private val waiting = ArrayList<WaitingPrompt>()

        // The caller sends a refused prompt again up to [retries] times before the next event.
        fun arrive(prompt: WaitingPrompt, retries: Int = 0) {
            repeat(retries + 1) {
                waiting += prompt
                if (waiting.size <= PLACES) return
                val last = ShareOrder.order(waiting, { it }, known()).last().item
                waiting.remove(last)
                refused.merge(last.organisation, 1, Int::plus)
                if (last != prompt) return
            }
        }

        fun placeNext(nowMs: Long) {
            val next = ShareOrder.order(waiting, { it }, known()).firstOrNull()?.item ?: return
            waiting.remove(next)
            own.add(next.organisation, next.workMs, nowMs)
            served.merge(next.organisation, next.workMs, Double::plus)
        }
    }

    // Twice as much work arrives as is served; each organisation sends the number of prompts per event that [rates] says.
    private fun burst(rates: Map<Int, Double>, retries: Map<Int, Int> = emptyMap()): Instance {
        var nowMs = 0L
        lateinit var instance: Instance
        instance = Instance { instance.own.all(nowMs) }
        val arrived = HashMap<Int, Double>()
        repeat(EVENTS) {
            nowMs += EVENT_MS
            rates.forEach { (organisation, rate) ->
                val before = arrived[organisation] ?: 0.0
                arrived[organisation] = before + rate
                repeat((before + rate).toInt() - before.toInt()) {
                    instance.arrive(
                        WaitingPrompt(0, organisation, 500.0, nowMs + 1_500),
                        retries[organisation] ?: 0,
                    )
                }
            }
            instance.placeNext(nowMs)
        }
        return instance
    }

    // Guards against shares in proportion to what is sent: the largest sender would take nearly everything.
    @Test
    fun `two organisations with most of the load get equal shares, and a small one all it asks for`() {
        val served = burst(mapOf(BIG to 1.2, OTHER_BIG to 0.7, SMALL to 0.1)).served
        expectThat(served.getValue(BIG) / served.getValue(OTHER_BIG)).isIn(0.85..1.15)
        expectThat(served.getValue(SMALL) / (EVENTS * 0.1 * 500.0)).isGreaterThan(0.95)
    }

    // Guards against callers that are served more because they return at once.
    @Test
    fun `an organisation whose callers retry at once gets no more than one whose callers do not`() {
        val served = burst(mapOf(BIG to 1.0, OTHER_BIG to 1.0), retries = mapOf(BIG to 20)).served
        expectThat(served.getValue(BIG) / served.getValue(OTHER_BIG)).isIn(0.9..1.1)
    }

    // Guards against capacity that is kept for organisations that do not use it.
    @Test
    fun `an organisation alone gets all capacity, and the other's share as soon as it stops`() {
        expectThat(burst(mapOf(BIG to 2.0)).served.getValue(BIG)).isEqualTo(EVENTS * 500.0)
        val served = burst(mapOf(BIG to 2.0, OTHER_BIG to 0.2)).served
        expectThat(served.values.sum()).isEqualTo(EVENTS * 500.0)
        expectThat(served.getValue(OTHER_BIG) / (EVENTS * 0.2 * 500.0)).isGreaterThan(0.95)
    }

    // Guards against an organisation below its share that is refused because of one above it.
    @Test
    fun `the organisation that has used more is refused first`() {
        expectThat(burst(mapOf(BIG to 2.0, SMALL to 0.2)).refused[SMALL]).isEqualTo(null)
    }

    // Guards against shares that depend on the exchange: without reports, each instance shares what it places itself.
    @Test
    fun `instances that do not hear of each other share by what they know`() {
        val instances = List(3) { burst(mapOf(BIG to 1.0 + it, OTHER_BIG to 0.6)) }
        val served = listOf(BIG, OTHER_BIG).map { organisation -> instances.sumOf { it.served.getValue(organisation) } }
        expectThat(served[0] / served[1]).isIn(0.85..1.15)
    }

    @Test
    fun `recent work halves in five seconds and is forgotten`() {
        val work = RecentWork()
        work.add(BIG, 1_000.0, 0)
        expectThat(work.all(5_000)).isEqualTo(mapOf(BIG to 500.0))
        expectThat(work.all(40_000)).isEqualTo(emptyMap())
    }

    private companion object {
        const val BIG = 1
        const val OTHER_BIG = 2
        const val SMALL = 3
        const val NEW = 4
        const val PLACES = 10
        const val EVENTS = 400
        const val EVENT_MS = 100L
    }
}
