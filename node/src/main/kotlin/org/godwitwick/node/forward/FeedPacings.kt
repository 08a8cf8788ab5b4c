package org.godwitwick.node.forward

/** Derives the pacing of each feed from the time limits of the deployment. */
internal object FeedPacings {
    /** Configuration changes within this time are read together. */
    private const val CONFIG_PERIOD_MS = 50L

    /** Unchanged registrations need no regular proof that they are current, so a read may wait long for a change. */
    private const val UPSTREAM_WAIT_MS = 5_000L

    /**
     * The configuration must be confirmed within [ForwardSettings.revocationMs], after which revoked keys are refused. When it is
     * read through a reader, that time has to cover the reader's own wait, a long poll of the reader and a pull from another
     * reader.
     */
    fun ofConfig(settings: ForwardSettings) = FeedPacing(
        waitMs = settings.revocationMs * 2 / 5,
        periodMs = CONFIG_PERIOD_MS,
        sharedWaitMs = settings.revocationMs / 5,
        sharedPeriodMs = CONFIG_PERIOD_MS,
        maxAgeMs = settings.revocationMs * 2 / 5,
    )

    /** The leaving of an upstream must be known within [ForwardSettings.leavingMs], which has to cover the same steps. */
    fun ofUpstreams(settings: ForwardSettings) = FeedPacing(
        waitMs = UPSTREAM_WAIT_MS,
        periodMs = settings.leavingMs / 2,
        sharedWaitMs = settings.leavingMs / 4,
        sharedPeriodMs = settings.leavingMs / 8,
        maxAgeMs = settings.leavingMs * 3 / 8,
    )
}
