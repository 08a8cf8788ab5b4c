package org.godwitwick.node.forward

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onErr
import org.godwitwick.core.forward.FleetSize
import org.godwitwick.core.forward.ReaderPlan
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.MembersAnswer
import org.godwitwick.node.peer.MembersPull
import org.slf4j.LoggerFactory

/**
 * The instances that are registered, as this one knows them. A change of the fleet is read from the registry by the readers only; the
 * others ask these. One thread refreshes it; its properties are read from any thread.
 *
 * @param ask asks another instance; null when it doesn't know or doesn't answer.
 */
class RegisteredFleet(
    private val self: RegisteredInstance,
    private val registry: InstanceRegistry,
    private val ask: (to: InstanceId, pull: MembersPull) -> MembersAnswer?,
) {
    private class Listed(val generation: Long, val instances: List<RegisteredInstance>)

    private val size = FleetSize()
    private var missedRounds = 0

    @Volatile
    private var listed: Listed? = null

    /** Other instances by their id. */
    @Volatile
    var others: Map<InstanceId, RegisteredInstance> = emptyMap()
        private set

    /** Who reads the store. */
    @Volatile
    var plan: ReaderPlan = ReaderPlan(emptyMap())
        private set

    /** Instances of the fleet, this one included; null until they are known. */
    @Volatile
    var instanceCount: Int? = null
        private set

    /** The most instances that the fleet is known to have had; null until they are known. */
    @Volatile
    var largestCount: Int? = null
        private set

    /** Time until the next refresh, in milliseconds. */
    val periodMs: Long
        get() = when {
            instanceCount == null || missedRounds > 0 -> SEARCH_PERIOD_MS
            plan.readers.isEmpty() -> SMALL_FLEET_PERIOD_MS
            else -> LARGE_FLEET_PERIOD_MS
        }

    /** Registers this instance for [PERIODS_TO_LIVE] periods and learns of changes. */
    fun refresh() {
        val ttlMs = PERIODS_TO_LIVE * if (plan.readers.isEmpty()) SMALL_FLEET_PERIOD_MS else LARGE_FLEET_PERIOD_MS
        registry.announce(self, ttlMs)
            .onErr { log.debug("peer: the registry was not reached: {}", it.message) }
            .get()
            ?.let(::follow)
    }

    private fun follow(generation: Long) {
        val known = listed
        val current = known?.takeIf { it.generation >= generation } ?: changed(generation, known != null)
        if (current == null) {
            missedRounds++
            return
        }
        missedRounds = 0
        if (current !== known) use(current)
        size.onRegistered(current.instances.size)
        instanceCount = size.settled
        largestCount = size.largest
    }

    private fun changed(generation: Long, knowsReaders: Boolean): Listed? {
        val isFollower = knowsReaders && !plan.isReader(self.id)
        if (isFollower) {
            plan.sourcesOf(self.id, self.dataCentre).take(READERS_ASKED).forEach { reader ->
                ask(reader, MembersPull(generation))?.let { return listedOf(it) }
            }
            // Readers learn of the change with their own next registration.
            if (missedRounds < PATIENT_ROUNDS) return null
        }
        return registry.instances()
            .onErr { log.debug("peer: the instances can't be read: {}", it.message) }
            .get()
            ?.let { Listed(generation, it) }
    }

    private fun use(current: Listed) {
        listed = current
        val now = current.instances.filter { it.id != self.id }.associateBy { it.id }
        if (now != others) log.info("peer: {} other instances are registered", now.size)
        others = now
        plan = ReaderPlan.of((now.values + self).associate { it.id to it.dataCentre })
    }

    /** What this instance answers to [pull], or null when it doesn't know that much. */
    fun answer(pull: MembersPull): MembersAnswer? {
        val known = listed?.takeIf { it.generation >= pull.generation } ?: return null
        return MembersAnswer(
            known.generation,
            known.instances.map { it.id.value },
            known.instances.map { it.dataCentre },
            known.instances.map { it.address },
        )
    }

    private fun listedOf(answer: MembersAnswer): Listed {
        val instances = answer.ids.indices.mapNotNull { i ->
            val dataCentre = answer.dataCentres.getOrNull(i) ?: return@mapNotNull null
            answer.addresses.getOrNull(i)?.let { RegisteredInstance(InstanceId(answer.ids[i]), dataCentre, it) }
        }
        return Listed(answer.generation, instances)
    }

    private companion object {
        /** Period until the others are known, since placement is coarse before; the store counts a registration as a tenth of a call. */
        const val SEARCH_PERIOD_MS = 300L
        const val SMALL_FLEET_PERIOD_MS = 1_000L

        /** Registrations are most of a large fleet's calls; a lost instance is noticed sooner by those that depend on it. */
        const val LARGE_FLEET_PERIOD_MS = 2_000L
        const val PERIODS_TO_LIVE = 3
        const val READERS_ASKED = 2

        /** Rounds of the search period in which the readers have registered again. */
        const val PATIENT_ROUNDS = 10
        val log = LoggerFactory.getLogger(RegisteredFleet::class.java)
    }
}
