package org.godwitwick.node.forward

import org.godwitwick.core.forward.ForwardAdmission
import org.godwitwick.core.forward.PatienceRule
import org.godwitwick.core.forward.PlacementRule
import kotlin.random.Random

/**
 * What the runs of all requests share.
 *
 * @property onLongPlaced told when a long prompt was placed, which other instances have to know before they place theirs.
 */
class ForwardParts(
    val dialect: ForwardDialect,
    val knowledge: FleetKnowledge,
    val admission: ForwardAdmission,
    val placement: PlacementRule,
    val patience: PatienceRule,
    val client: ForwardClient,
    val reservations: Reservations,
    val loads: UpstreamLoads,
    val peerLoads: PeerLoads,
    val budgets: RetryBudgets,
    val metrics: ForwardMetrics,
    val random: Random,
    private val instanceCount: () -> Int?,
    val onLongPlaced: () -> Unit,
) {
    /** Share of the fleet's instances whose work is known, this one's and that of [others]; zero before the others are known. */
    fun knownShare(others: OthersWork): Double = instanceCount()?.let { ((1.0 + others.instances) / it).coerceAtMost(1.0) } ?: 0.0
}
