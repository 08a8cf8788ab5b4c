package org.godwitwick.core.model

/** Class of a request by the length of its prompt; see [ClassBounds]. */
enum class PromptClass(val label: String) {
    SHORT("short"),
    MEDIUM("medium"),
    LONG("long"),
    HUGE("huge"),
}

/** Inclusive upper bounds of the prompt classes, in tokens. The defaults apply until an operator publishes other bounds. */
data class ClassBounds(val shortMaxTokens: Int = 4_000, val mediumMaxTokens: Int = 32_000, val longMaxTokens: Int = 100_000) {
    /** Returns the class of a prompt of [promptTokens] tokens. */
    fun classOf(promptTokens: Int): PromptClass = when {
        promptTokens <= shortMaxTokens -> PromptClass.SHORT
        promptTokens <= mediumMaxTokens -> PromptClass.MEDIUM
        promptTokens <= longMaxTokens -> PromptClass.LONG
        else -> PromptClass.HUGE
    }
}
