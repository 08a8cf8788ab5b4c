package org.godwitwick.core.admission

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.OrganisationId

/** Enforces this instance's share of each organisation's limit and measures the demand to publish. Not thread safe. */
class OrganisationLimits(
    private val demand: DemandTable,
    private val startedAtMs: Long,
    private val limitOf: (OrganisationId) -> Double,
) {
    private class Account(val bucket: WorkBucket, var arrivedTokens: Long = 0, var tokensPerSecond: Double = 0.0)

    private val accounts = HashMap<OrganisationId, Account>()
    private var measuredAtMs = startedAtMs

    /**
     * Charges [workTokens] to [organisation] and returns null, or returns the reason for refusal. Refused work counts as demand.
     */
    fun charge(organisation: OrganisationId, workTokens: Long, isLongRead: Boolean, nowMs: Long): Failure? {
        val account = accounts.getOrPut(organisation) { Account(WorkBucket(0.0, startedAtMs)) }
        account.arrivedTokens += workTokens
        if (!demand.isSettled(nowMs)) {
            return Failure(
                ErrorKind.OVERLOADED,
                "the other instances do not count this instance yet",
                retryAfterMs = DemandTable.SETTLE_MS,
            )
        }
        val rate = demand.shareOf(limitOf(organisation), organisation, nowMs)
        if (!account.bucket.isOpen(rate, nowMs, if (isLongRead) 0.0 else SHORTER_DEBT_SECONDS)) {
            return Failure(
                ErrorKind.QUOTA_EXCEEDED,
                "the organisation has reached its work limit at this instance",
                retryAfterMs = account.bucket.opensInMs(rate).coerceAtLeast(WorkBucket.MIN_RETRY_MS),
            )
        }
        account.bucket.take(workTokens)
        return null
    }

    /** Refunds [workTokens] that were charged to [organisation] but not executed. */
    fun refund(organisation: OrganisationId, workTokens: Long) {
        accounts[organisation]?.bucket?.take(-workTokens)
    }

    /**
     * Measures the demand since the last call, records it in the table as published, and returns it. Called about once a second.
     */
    fun measure(dataCentre: String, longReads: Int, nowMs: Long): Demand {
        val seconds = (nowMs - measuredAtMs).coerceAtLeast(1) / MS_PER_SECOND
        measuredAtMs = nowMs
        val iterator = accounts.entries.iterator()
        while (iterator.hasNext()) {
            val account = iterator.next().value
            account.tokensPerSecond += (account.arrivedTokens / seconds - account.tokensPerSecond) * SMOOTHING
            account.arrivedTokens = 0
            // A full bucket has no debt, so an idle organisation gains nothing when its account is removed.
            if (account.tokensPerSecond < IDLE_TOKENS_PER_SECOND && account.bucket.opensInMs(1.0) == 0L) iterator.remove()
        }
        val instances = demand.countedInstances(nowMs)
        // An organisation well below its floor share needs no share by demand; leaving it out keeps the rows small in a large
        // fleet.
        val aboveThreshold = accounts.filter { (id, account) ->
            account.tokensPerSecond > LimitSplit.floorOf(limitOf(id), instances) * PUBLISH_FRACTION
        }
        val measured = Demand(
            nowMs,
            instances,
            aboveThreshold.mapValues { it.value.tokensPerSecond },
            accounts.values.sumOf { it.tokensPerSecond },
            longReads,
            dataCentre,
        )
        demand.onPublished(measured)
        return measured
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        // Keeps a burst of one second from shifting the split of a whole limit at once.
        const val SMOOTHING = 0.3

        // Debt, in seconds of the share, up to which shorter requests still pass. One long read may cost many seconds of the
        // share; meanwhile further long reads are refused.
        const val SHORTER_DEBT_SECONDS = 30.0

        /** Fraction of the floor share above which demand is published: below 1, because peers receive it a second later. */
        const val PUBLISH_FRACTION = 0.7
        const val IDLE_TOKENS_PER_SECOND = 1.0
    }
}
