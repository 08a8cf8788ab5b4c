package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.math.ln

/**
 * A long prompt that waits at its instance.
 *
 * @property level level of its rank, see [ServiceRanks.levelOf].
 * @property organisation key of its organisation, see [RecentWork.keyOf].
 * @property workMs its whole prefill, in milliseconds of engine time.
 * @property targetAtMs monotonic time of the target for its first event, in milliseconds.
 */
data class WaitingPrompt(val level: Int, val organisation: Int, val workMs: Double, val targetAtMs: Long)

/**
 * Place of a waiting prompt in the order, with the inputs that decided it.
 *
 * @property chargedMs recent work of its organisation and the work of the organisation's prompts ahead of it, in milliseconds.
 * @property shareMs equal share of an organisation in the recent work, in milliseconds.
 * @property step how far [chargedMs] is above [shareMs], see [ShareOrder.stepOf].
 */
class OrderedPrompt<T>(val item: T, val prompt: WaitingPrompt, val chargedMs: Double, val shareMs: Double, val step: Int)

/**
 * Orders the long prompts that wait at an instance of a service that is contended by rank: first by level of rank, then by how far the
 * organisation is above its share of the recent work, then by the time left until the target.
 *
 * Designed for bursts in which one or two organisations send most of the long prompts. Each prompt is charged with the recent work of
 * its organisation and with that of the organisation's prompts ahead of it, so an organisation gains nothing by sending more prompts at
 * once or by repeating those that were refused: the target of a repeated request is later. Nothing is set aside: the first one is placed
 * however much its organisation has used, so an organisation alone gets all capacity.
 */
object ShareOrder {
    /** Returns [items] in order; [recentMs] is the present recent work by organisation, in milliseconds. */
    fun <T> order(items: List<T>, promptOf: (T) -> WaitingPrompt, recentMs: Map<Int, Double>): List<OrderedPrompt<T>> {
        val byOrganisation = items.groupBy { promptOf(it).organisation }
        val organisations = recentMs.size + byOrganisation.keys.count { it !in recentMs }
        val shareMs = recentMs.values.sum() / organisations.coerceAtLeast(1)
        return byOrganisation.flatMap { (organisation, own) ->
            var chargedMs = recentMs[organisation] ?: 0.0
            own.sortedWith(compareBy({ promptOf(it).level }, { promptOf(it).targetAtMs })).map {
                val prompt = promptOf(it)
                OrderedPrompt(it, prompt, chargedMs, shareMs, stepOf(chargedMs, shareMs)).also { chargedMs += prompt.workMs }
            }
        }.sortedWith(compareBy({ it.prompt.level }, { it.step }, { it.prompt.targetAtMs }))
    }

    /**
     * How far an organisation that is charged with [chargedMs] is above its share [shareMs]: 0 without recent work, 1 within its share,
     * and one more for each factor of [STEP_FACTOR] above it.
     */
    fun stepOf(chargedMs: Double, shareMs: Double): Int {
        if (chargedMs < RecentWork.MIN_MS) return 0
        val ratio = chargedMs / shareMs.coerceAtLeast(MIN_SHARE_MS)
        return if (ratio <= 1) 1 else 1 + ceil(ln(ratio) / ln(STEP_FACTOR)).toInt()
    }

    /** Organisations whose work differs by less count as equal, so that the time left decides between them. */
    private const val STEP_FACTOR = 1.25

    /** About the prefill of four short prompts; smaller differences do not show that an organisation takes much. */
    private const val MIN_SHARE_MS = 100.0
}
