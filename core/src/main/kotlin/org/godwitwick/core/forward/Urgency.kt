package org.godwitwick.core.forward

/**
 * Urgency that is sent to engines with a request of [size], from 0 (highest) to 9 (lowest).
 *
 * In a burst of long prefills, short prompts are admitted first; they delay the long ones only a little.
 */
fun urgencyOf(size: RequestSize?): Int = when {
    size == null -> DEFAULT_URGENCY
    size.isShort -> SHORT_URGENCY
    size.promptTokens < MEDIUM_TOKENS -> MEDIUM_URGENCY
    else -> LONG_URGENCY
}

/**
 * Urgency that is sent to engines with a request of [size] and [rank], from 0 to 9.
 *
 * A request that outranks another is always more urgent. Within a level the size decides as in [urgencyOf] without a rank, as far as
 * the ten values suffice for it.
 */
fun urgencyOf(size: RequestSize?, rank: StatedRank?): Int {
    if (rank == null || size == null) return urgencyOf(size)
    val steps = URGENCIES / rank.ranks.levels
    val sizeClass = when (urgencyOf(size)) {
        SHORT_URGENCY -> 0
        MEDIUM_URGENCY -> 1
        else -> 2
    }
    return rank.level * steps + sizeClass.coerceAtMost(steps - 1)
}

private const val URGENCIES = 10
private const val DEFAULT_URGENCY = 5
private const val SHORT_URGENCY = 2
private const val MEDIUM_URGENCY = 4
private const val LONG_URGENCY = 5

// Lower bound of the prompt class `long` in docs/operators/classes-and-shares.md.
private const val MEDIUM_TOKENS = 100_000L
