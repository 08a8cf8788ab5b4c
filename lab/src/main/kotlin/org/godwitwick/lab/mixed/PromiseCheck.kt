package org.godwitwick.lab.mixed

/** Checks the promises of the product against what callers and upstreams have seen in a run. */
class PromiseCheck(seen: Observations, private val organisations: Map<String, String>, private val bounds: PromiseBounds) {
    private val attempts = seen.attempts.toList()
    private val arrivals = seen.arrivals.sortedBy { it.atMs }
    private val events = seen.events.toList()
    private val byId = attempts.associateBy { it.id }
    private val arrivalsOf = arrivals.groupBy { it.id }
    private val revoked = events.filterIsInstance<FleetEvent.KeyRevoked>().associate { it.key to it.atMs }

    /** The promises that were not kept. */
    fun breaches(): List<Breach> =
        attempts.flatMap(::ofAttempt) + arrivals.flatMap(::ofArrival) + leaving() + limits() + crashing() + retries() + denied()

    private fun ofAttempt(attempt: CallerAttempt): List<Breach> {
        val ran = arrivalsOf[attempt.id].orEmpty().filter { it.hasRun }
        return listOfNotNull(
            Breach(Promise.RUNS, "${attempt.id} ran ${ran.size} times: $ran").takeIf { ran.size > attempt.kind.maxRuns },
            Breach(Promise.ONE_ANSWER, "$attempt; ran: $ran").takeUnless { isTrueAnswer(attempt, ran) },
            Breach(Promise.NOT_RUN, "$attempt; ran: $ran")
                .takeIf { attempt.kind.maxRuns == 1 && attempt.answer.status in NOT_RUN_STATUSES && ran.isNotEmpty() },
            Breach(Promise.LOST, "$attempt; ran: $ran").takeIf { isLost(attempt, ran) },
        )
    }

    private fun isTrueAnswer(attempt: CallerAttempt, ran: List<Arrival>): Boolean {
        val answer = attempt.answer
        if (answer.status !in SUCCESSES || !answer.isWhole) return true
        return ran.any { run ->
            // A stream that another upstream has resumed keeps the signature of the first one.
            val isPossible = run.handling == Handling.SERVED || attempt.kind == RequestKind.DRAFT
            isPossible &&
                ExpectedAnswer.of(attempt.kind, attempt.id, run.upstream) ==
                ExpectedAnswer(answer.signature.orEmpty(), answer.body)
        }
    }

    // The upstream has answered, and the instance has closed the caller's connection without that answer.
    private fun isLost(attempt: CallerAttempt, ran: List<Arrival>) =
        !attempt.answer.isWhole && ran.isNotEmpty() && ran.all { it.handling == Handling.SERVED }

    private fun ofArrival(arrival: Arrival): List<Breach> {
        val attempt = byId[arrival.id]
            ?: return listOf(Breach(Promise.ORGANISATION, "a request of no caller: $arrival"))
        val isOwn = !arrival.hasKey && arrival.organisation == organisations[attempt.key]
        val revokedMs = revoked[attempt.key]
        val isLate = revokedMs != null && attempt.sentMs > revokedMs + bounds.revocationMs && arrival.hasRun
        return listOfNotNull(
            Breach(Promise.ORGANISATION, "$arrival of $attempt").takeUnless { isOwn },
            Breach(Promise.REVOKED, "$arrival of $attempt, revoked at $revokedMs").takeIf { isLate },
        )
    }

    private fun leaving() = events.filterIsInstance<FleetEvent.UpstreamLeaves>().flatMap { left ->
        arrivals.filter { it.upstream == left.upstream && it.atMs > left.atMs + bounds.leavingMs }
            .map { Breach(Promise.LEAVING, "$it at ${byId[it.id]?.instance}, ${it.atMs - left.atMs} ms after $left") }
    }

    private fun limits() = events.filterIsInstance<FleetEvent.LimitStated>().mapNotNull { stated ->
        val toldMs = attempts.filter { it.answer.signature.orEmpty().endsWith(".${stated.upstream}") }
            .groupBy({ it.instance }, { it.endMs })
        val counted = arrivals.filter { arrival ->
            arrival.upstream == stated.upstream && arrival.atMs > stated.atMs + bounds.contactWindowMs && isTold(arrival, toldMs)
        }
        val most = counted.map { first -> counted.filter { it.atMs in first.atMs until first.atMs + LIMIT_WINDOW_MS } }
            .maxByOrNull { it.size }.orEmpty()
        val allowed = LIMIT_FACTOR * stated.perSecond * LIMIT_WINDOW_MS / MS_PER_SECOND + LIMIT_SLACK
        val seen = most.map { "${it.atMs} ${it.id} at ${byId[it.id]?.instance}" }
        Breach(Promise.LIMIT, "${most.size} requests, $allowed allowed: $stated: $seen").takeIf { most.size > allowed }
    }

    // Whether the instance has passed on an answer that states the limit, half a second before, and has not been restarted since.
    private fun isTold(arrival: Arrival, toldMs: Map<String, List<Long>>): Boolean {
        val instance = byId[arrival.id]?.instance ?: return false
        val readyMs = readySinceMs(instance, arrival.atMs) ?: return false
        return toldMs[instance].orEmpty().any { it in readyMs..arrival.atMs - TOLD_MS }
    }

    // Null while the instance is being replaced.
    private fun readySinceMs(instance: String, atMs: Long): Long? {
        val past = events.filter { it.atMs <= atMs }
        val stoppingMs = past.filterIsInstance<FleetEvent.Stopping>().lastOrNull { it.instance == instance }?.atMs ?: -1
        val readyMs = past.filterIsInstance<FleetEvent.Ready>().lastOrNull { it.instance == instance }?.atMs ?: 0
        return readyMs.takeIf { it > stoppingMs }
    }

    private fun crashing(): List<Breach> {
        val crashes = arrivals.filter { it.handling == Handling.CRASHED }
        if (crashes.size < CRASHES) return emptyList()
        val boundMs = crashes[CRASHES - 1].atMs + bounds.contactWindowMs
        // An instance that has just started may not know of the crashes yet.
        val late = crashes.filter { crash ->
            val readyMs = byId[crash.id]?.let { readySinceMs(it.instance, crash.atMs) }
            crash.atMs > boundMs && readyMs != null && crash.atMs > readyMs + bounds.contactWindowMs
        }
        return if (late.size <= LATE_CRASHES) emptyList() else listOf(Breach(Promise.CRASHING, "${late.size} arrivals: $late"))
    }

    // Counted for each service over any window, against the requests in it, in the one before it, or in the one half a window before it.
    private fun retries(): List<Breach> = RequestKind.entries.groupBy { it.service }.mapNotNull { (service, kinds) ->
        val sentMs = attempts.filter { it.kind in kinds }.map { it.sentMs }
        val repeatsMs = arrivalsOf.values.flatMap { it.drop(1) }.filter { it.upstream.startsWith("$service-") }.map { it.atMs }
        val excess = repeatsMs.maxOfOrNull { endMs ->
            val repeats = repeatsMs.count { it in endMs - RETRY_WINDOW_MS + 1..endMs }
            val requests = listOf(0L, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS).maxOf { back ->
                sentMs.count { it in endMs - back - RETRY_WINDOW_MS + 1..endMs - back }
            }
            repeats - RETRY_FRACTION * requests - bounds.retryReserve
        } ?: 0.0
        Breach(Promise.RETRIES, "$excess repeats too many for $service").takeIf { excess > 0 }
    }

    private fun denied(): List<Breach> {
        val refused = attempts.filter { it.answer.status in DENIALS && (revoked[it.key] ?: Long.MAX_VALUE) > it.endMs }
        val allowed = DENIED_SLACK + attempts.size / DENIED_SHARE
        return if (refused.size <=
            allowed
        ) {
            emptyList()
        } else {
            listOf(Breach(Promise.DENIED, "${refused.size}, first: ${refused.first()}"))
        }
    }

    private companion object {
        val SUCCESSES = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val DENIALS = (300..499).toSet() - setOf(408, 421, 429)
        const val LIMIT_WINDOW_MS = 4_000L
        const val LIMIT_FACTOR = 1.5
        const val LIMIT_SLACK = 5
        const val TOLD_MS = 500
        const val MS_PER_SECOND = 1e3
        const val RETRY_WINDOW_MS = 10_000L
        const val RETRY_FRACTION = 0.2
        const val CRASHES = 3
        const val LATE_CRASHES = 3
        const val DENIED_SLACK = 5
        const val DENIED_SHARE = 500
    }
}
