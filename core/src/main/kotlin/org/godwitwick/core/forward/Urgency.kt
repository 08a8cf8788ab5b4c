package org.godwitwick.core.forward

/**
 * Urgency that engines are told, from 0, which goes first, to 9. Answers bursts of long reads: short prompts are admitted before them
 * and delay them little.
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

// The bound of the prompt class `long` of docs/operators/classes-and-shares.md.
private const val MEDIUM_TOKENS = 100_000L
