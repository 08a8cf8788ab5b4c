package org.godwitwick.lab.experiment

import org.godwitwick.core.placement.ExpectedFirstToken
import org.godwitwick.core.placement.LeastOutstanding
import org.godwitwick.core.placement.PlacementPolicy
import org.godwitwick.core.placement.PrefixHash
import org.godwitwick.core.placement.RoundRobin

/**
 * A placement policy to compare, with or without admission and engine priority.
 *
 * @property label name in outputs.
 * @property isManaged whether requests pass admission and carry an engine priority; a plain load balancer has neither.
 */
enum class Variant(val label: String, val isManaged: Boolean, val policy: () -> PlacementPolicy) {
    EXPECTED("expected-first-token", true, { ExpectedFirstToken() }),
    ROUND_ROBIN("round-robin", false, { RoundRobin() }),
    LEAST_OUTSTANDING("least-outstanding", false, { LeastOutstanding }),
    PREFIX_HASH("prefix-hash", false, { PrefixHash }),

    /** Separates the effect of placement from that of admission and priority. */
    MANAGED_LEAST_OUTSTANDING("least-outstanding-managed", true, { LeastOutstanding }),
}
