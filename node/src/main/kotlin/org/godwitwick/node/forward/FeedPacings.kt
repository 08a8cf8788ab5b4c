package org.godwitwick.node.forward

/** Derives the pacing of each feed from the time limits of the deployment. */
internal object FeedPacings {
    /** Configuration changes within this time are read together. */
    private const val CONFIG_PERIOD_MS = 50L
    private const val CONFIG_ANSWER_MS = 800L

    /**
     * The configuration must be confirmed within [ForwardSettings.revocationMs], after which revoked keys are refused. When it is
     * read through a reader, that time has to cover the reader's own wait, a long poll of the reader and a pull from another
     * reader.
     */
    fun ofConfig(settings: ForwardSettings) = FeedPacing(
        waitMs = settings.revocationMs * 2 / 5,
        answerMs = CONFIG_ANSWER_MS,
        periodMs = CONFIG_PERIOD_MS,
        sharedWaitMs = settings.revocationMs / 5,
        sharedPeriodMs = CONFIG_PERIOD_MS,
        maxAgeMs = settings.revocationMs * 2 / 5,
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
