package org.godwitwick.node.forward

import org.godwitwick.core.forward.ForwardAdmission
import org.godwitwick.core.forward.StreamTimeoutRule
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
    val placer: WorkPlacer,
    val patience: StreamTimeoutRule,
    val client: ForwardClient,
    val reservations: Reservations,
    val loads: UpstreamLoads,
    val budgets: RetryBudgets,
    val metrics: ForwardMetrics,
    val random: Random,
    val onLongPlaced: () -> Unit,
)
