package org.godwitwick.node.forward

/** The pacing of each feed, from the bounds of the deployment. */
internal object FeedTiming {
    /** Changes of the configuration that come within this time share a read. */
    private const val CONFIG_PERIOD_MS = 50L

    /** Registrations that don't change prove nothing that is needed, so their reads may wait long. */
    private const val UPSTREAM_WAIT_MS = 5_000L

    /**
     * The configuration has to be confirmed within the time in which withdrawn keys are refused. Through a reader, its wait, a question
     * that is held, and one more to another reader have to fit in.
     */
    fun ofConfig(settings: ForwardSettings) = FeedPacing(
        waitMs = settings.revocationMs * 2 / 5,
        periodMs = CONFIG_PERIOD_MS,
        sharedWaitMs = settings.revocationMs / 5,
        sharedPeriodMs = CONFIG_PERIOD_MS,
        maxAgeMs = settings.revocationMs * 2 / 5,
    )

    /** An upstream that leaves has to be known within the time for leaving, by the same steps. */
    fun ofUpstreams(settings: ForwardSettings) = FeedPacing(
        waitMs = UPSTREAM_WAIT_MS,
        periodMs = settings.leavingMs / 2,
        sharedWaitMs = settings.leavingMs / 4,
        sharedPeriodMs = settings.leavingMs / 8,
        maxAgeMs = settings.leavingMs * 3 / 8,
    )
}
