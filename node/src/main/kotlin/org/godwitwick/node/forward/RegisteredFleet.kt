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
 * The registered instances, as known to this one. Only readers read a change of the fleet from the registry; the other instances
 * ask the readers. Refreshed by one thread; the properties may be read from any thread.
 *
 * @param ask sends a pull to another instance; returns null if it does not answer or does not know the change yet.
 */
class RegisteredFleet(
    private val self: RegisteredInstance,
    private val registry: InstanceRegistry,
    private val ask: (to: InstanceId, pull: MembersPull) -> MembersAnswer?,
) {
    private class InstanceList(val generation: FleetGeneration, val instances: List<RegisteredInstance>)

    private val size = FleetSize()
    private var missedRounds = 0
    private var knownFor: List<RegisteredInstance>? = null
    private var carriedOver: List<RegisteredInstance> = emptyList()
    private var carriedRounds = 0

    @Volatile
    private var latestList: InstanceList? = null

    /** The other instances by id. */
    @Volatile
    var others: Map<InstanceId, RegisteredInstance> = emptyMap()
        private set

    /** All instances including this one; empty until the fleet is known. */
    @Volatile
    var ids: List<InstanceId> = emptyList()
        private set

    /** Era of the store in which this instance was registered last, or null before. */
    @Volatile
    var era: Long? = null
        private set

    /** Plan of which instances read the store. */
    @Volatile
    var plan: ReaderPlan = ReaderPlan(emptyMap())
        private set

    /** Number of instances of the fleet, this one included, or null until it is known. */
    @Volatile
    var instanceCount: Int? = null
        private set

    /** Largest number of instances that the fleet is known to have had, or null until it is known. */
    @Volatile
    var largestCount: Int? = null
        private set

    /** Time until the next refresh, in milliseconds. */
    val periodMs: Long
        get() = when {
            instanceCount == null || missedRounds > 0 -> DISCOVERY_PERIOD_MS
            plan.readers.isEmpty() -> SMALL_FLEET_PERIOD_MS
            else -> LARGE_FLEET_PERIOD_MS
        }

    /**
     * Renews the registration of this instance for [TTL_PERIODS] periods, and updates the known instances if they have changed.
     */
    fun refresh() {
        val ttlMs = TTL_PERIODS * if (plan.readers.isEmpty()) SMALL_FLEET_PERIOD_MS else LARGE_FLEET_PERIOD_MS
        registry.announce(self, ttlMs)
            .onErr { log.debug("peer: could not register this instance: {}", it.message) }
            .get()
            ?.let(::onGeneration)
    }

    private fun onGeneration(generation: FleetGeneration) {
        era = generation.era
        val known = latestList
        val current = known?.takeIf { it.generation >= generation } ?: readChange(generation, known != null)
        if (current == null) {
            missedRounds++
            return
        }
        missedRounds = 0
        val isCarriedChanged = updateCarriedOver(known, current)
        if (current !== known || isCarriedChanged) adopt(current)
        size.onRegistered(others.size + 1)
        instanceCount = size.settled
        if (size.settled != null && (current.instances !== knownFor || isCarriedChanged)) {
            knownFor = current.instances
            ids = (others.keys + self.id).toList()
        }
        largestCount = size.largest
    }

    // After the store has returned from an older copy, the instances register again one after the other. Those that are not listed
    // yet count until their registrations would have expired. Returns whether the instances carried over have changed.
    private fun updateCarriedOver(known: InstanceList?, current: InstanceList): Boolean {
        if (known != null && current.generation.era > known.generation.era) {
            carriedOver = known.instances
            carriedRounds = TTL_PERIODS
            return true
        }
        if (carriedRounds == 0 || --carriedRounds > 0) return false
        carriedOver = emptyList()
        return true
    }

    private fun readChange(generation: FleetGeneration, knowsReaders: Boolean): InstanceList? {
        val isFollower = knowsReaders && !plan.isReader(self.id)
        if (isFollower) {
            plan.sourcesOf(self.id, self.dataCentre).take(READERS_ASKED).forEach { reader ->
                ask(reader, MembersPull(generation.number, generation.era))?.let { return instanceListOf(it) }
            }
            // Readers learn of the change when they next renew their own registration.
            if (missedRounds < MAX_MISSED_ROUNDS) return null
        }
        return registry.instances()
            .onErr { log.debug("peer: could not read the registered instances: {}", it.message) }
            .get()
            ?.let { InstanceList(generation, it) }
    }

    private fun adopt(current: InstanceList) {
        latestList = current
        val newOthers = (carriedOver + current.instances).filter { it.id != self.id }.associateBy { it.id }
        if (newOthers != others) log.info("peer: {} other instances are registered", newOthers.size)
        others = newOthers
        plan = ReaderPlan.of((newOthers.values + self).associate { it.id to it.dataCentre })
    }

    /** Answers [pull] of another instance; returns null if this instance does not know that generation yet. */
    fun answer(pull: MembersPull): MembersAnswer? {
        val known = latestList?.takeIf { it.generation >= FleetGeneration(pull.era, pull.generation) } ?: return null
        return MembersAnswer(
            known.generation.number,
            known.instances.map { it.id.value },
            known.instances.map { it.dataCentre },
            known.instances.map { it.address },
            known.generation.era,
            known.instances.map { it.callerAddress.orEmpty() },
        )
    }

    private fun instanceListOf(answer: MembersAnswer): InstanceList {
        val instances = answer.ids.indices.mapNotNull { i ->
            val dataCentre = answer.dataCentres.getOrNull(i) ?: return@mapNotNull null
            val callerAddress = answer.callerAddresses.getOrNull(i)?.ifEmpty { null }
            answer.addresses.getOrNull(i)?.let { RegisteredInstance(InstanceId(answer.ids[i]), dataCentre, it, callerAddress) }
        }
        return InstanceList(FleetGeneration(answer.era, answer.generation), instances)
    }

    private companion object {
        /**
         * Period until the others are known. It is short because placement is coarse until then; the store counts a registration
         * as 1/10 call.
         */
        const val DISCOVERY_PERIOD_MS = 300L
        const val SMALL_FLEET_PERIOD_MS = 1_000L

        /**
         * Longer, as most calls of a large fleet are registrations. Instances that depend on a failed one notice the failure
         * earlier by themselves.
         */
        const val LARGE_FLEET_PERIOD_MS = 2_000L
        const val TTL_PERIODS = 3
        const val READERS_ASKED = 2

        /** Rounds of [DISCOVERY_PERIOD_MS] within which the readers have renewed their registration. */
        const val MAX_MISSED_ROUNDS = 10
        val log = LoggerFactory.getLogger(RegisteredFleet::class.java)
    }
}
