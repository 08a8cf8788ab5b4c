package org.godwitwick.node.forward

/** Derives the pacing of each feed from the time limits of the deployment. */
internal object FeedPacings {
    /** Configuration changes within this time are read together. */
    private const val CONFIG_PERIOD_MS = 50L

    /**
     * The configuration must be confirmed within [revocationMs], after which revoked keys are refused. When it is
     * read through a reader, that time has to cover the reader's own wait, a long poll of the reader and a pull from another
     * reader. A new configuration must be in force within [applyMs], also if it is read on a connection that has become silent.
     * The same holds for an evacuation and [evacuationMs].
     */
    fun ofOperator(revocationMs: Long, applyMs: Long, evacuationMs: Long) = ofConfig(revocationMs, minOf(applyMs, evacuationMs))

    private fun ofConfig(revocationMs: Long, applyMs: Long) = FeedPacing(
        waitMs = minOf(revocationMs * 2 / 5, applyMs / 2),
        answerMs = applyMs / 5,
        periodMs = CONFIG_PERIOD_MS,
        sharedWaitMs = minOf(revocationMs / 5, applyMs / 4),
        sharedPeriodMs = CONFIG_PERIOD_MS,
        maxAgeMs = minOf(revocationMs * 2 / 5, applyMs * 3 / 8),
    )

    /**
     * The leaving of an upstream must be known within [leavingMs], which has to cover the same steps. It also covers
     * a read on a connection that has become silent, which ends after its wait and the time for an answer, and another read.
     */
    fun ofUpstreams(leavingMs: Long) = FeedPacing(
        waitMs = leavingMs / 2,
        answerMs = leavingMs / 5,
        periodMs = leavingMs / 2,
        sharedWaitMs = leavingMs / 4,
        sharedPeriodMs = leavingMs / 8,
        maxAgeMs = leavingMs * 3 / 8,
    )
}
