package org.godwitwick.node.forward

import org.godwitwick.core.forward.ForwardAdmission
import org.godwitwick.core.forward.Regions
import org.godwitwick.core.forward.StreamTimeoutRule
import org.godwitwick.node.memory.BodyMemory
import kotlin.random.Random

/**
 * Dependencies that all [ForwardRun]s share.
 *
 * @property onLongPromptPlaced called when a long prompt was placed, because other instances must know of it before they place
 *   theirs.
 */
class ForwardContext(
    val dialect: ForwardDialect,
    val fleetView: FleetView,
    val admission: ForwardAdmission,
    val placer: WorkPlacer,
    val streamTimeouts: StreamTimeoutRule,
    val client: ForwardClient,
    val reservations: Reservations,
    val loads: UpstreamLoads,
    val budgets: RetryBudgets,
    val prefillQueue: PrefillQueue,
    val shares: PrefillShares,
    val limitQueue: LimitQueue,
    val crashGuard: CrashGuard,
    val statements: UpstreamStatements,
    val metrics: ForwardMetrics,
    val random: Random,
    val relay: Relay,
    val relayHeaders: RelayHeaders,
    val onLongPromptPlaced: () -> Unit,
    val bodyMemory: BodyMemory,
    val keptPrompts: KeptPrompts?,
    val regions: Regions,
)
