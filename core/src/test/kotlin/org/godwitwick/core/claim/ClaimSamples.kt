package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/** Log time at which tests start, in milliseconds since the epoch. */
const val START_MS = 1_800_000_000_000L

/** Limits with the default window. */
val LIMITS = ClaimLimits(windowMs = 900_000)

/** Returns a key with the creation time [createdAtMs]; [number] distinguishes keys with the same creation time. */
fun keyAt(createdAtMs: Long, number: Int = 0): IdempotencyKey {
    val time = "%012x".format(createdAtMs)
    return checkNotNull(IdempotencyKey.parse("${time.take(8)}-${time.drop(8)}-7000-8000-%012x".format(number)))
}

/** Returns the claim key of [organisation] for the service `order-desk`. */
fun claimKey(createdAtMs: Long = START_MS, organisation: String = "caterer") =
    ClaimKey(OrganisationId(organisation), "order-desk", keyAt(createdAtMs))

/** Returns a claim with the id [id]. */
fun claim(id: String, key: ClaimKey = claimKey(), body: String = "body") =
    Claim(ClaimId(id), key, body, InstanceId("entry-$id"), 10_000)

/** Returns an outcome entry for [claim]. */
fun outcome(claim: Claim) = OutcomeEntry(claim.claimId, claim.key, Outcome(200, emptyList(), "done".toByteArray()))

/** Returns the entry that voids [claim]. */
fun notRun(claim: Claim) = NotRunEntry(claim.claimId, claim.key)

/** Returns an index after [entries], applied as one record each, all at [START_MS]. */
fun indexOf(vararg entries: ClaimEntry) = ClaimIndex(LIMITS).apply { entries.forEach { apply(START_MS, listOf(it)) } }
