package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/** Log time at which tests begin. */
const val START_MS = 1_800_000_000_000L

/** Limits with the default window. */
val LIMITS = ClaimLimits(windowMs = 900_000)

/** A key that was created at [createdAtMs]; [number] tells keys of one time apart. */
fun keyAt(createdAtMs: Long, number: Int = 0): IdempotencyKey {
    val time = "%012x".format(createdAtMs)
    return checkNotNull(IdempotencyKey.parse("${time.take(8)}-${time.drop(8)}-7000-8000-%012x".format(number)))
}

/** What a claim of [organisation] at the order desk is for. */
fun claimKey(createdAtMs: Long = START_MS, organisation: String = "caterer") =
    ClaimKey(OrganisationId(organisation), "order-desk", keyAt(createdAtMs))

/** A claim with the id [id]. */
fun claim(id: String, key: ClaimKey = claimKey(), body: String = "body") =
    Claim(ClaimId(id), key, body, InstanceId("entry-$id"), 10_000)

/** The recorded outcome of [claim]. */
fun outcome(claim: Claim) = OutcomeEntry(claim.claimId, claim.key, Outcome(200, emptyList(), "done".toByteArray()))

/** The record that voids [claim]. */
fun notRun(claim: Claim) = NotRunEntry(claim.claimId, claim.key)

/** An index that has read [entries], one record each, all at [START_MS]. */
fun indexOf(vararg entries: ClaimEntry) = ClaimIndex(LIMITS).apply { entries.forEach { apply(START_MS, listOf(it)) } }
