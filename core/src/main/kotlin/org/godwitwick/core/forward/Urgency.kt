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

private const val DEFAULT_URGENCY = 5
private const val SHORT_URGENCY = 2
private const val MEDIUM_URGENCY = 4
private const val LONG_URGENCY = 5

// Lower bound of the prompt class `long` in docs/operators/classes-and-shares.md.
private const val MEDIUM_TOKENS = 100_000L
