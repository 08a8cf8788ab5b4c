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
        val times = arrivals.filter {
            it.upstream == stated.upstream && it.atMs > stated.atMs + bounds.contactWindowMs
        }.map { it.atMs }
        val most = times.maxOfOrNull { from -> times.count { it in from until from + LIMIT_WINDOW_MS } } ?: 0
        val allowed = LIMIT_FACTOR * stated.perSecond * LIMIT_WINDOW_MS / MS_PER_SECOND + LIMIT_SLACK
        Breach(Promise.LIMIT, "$most requests within $LIMIT_WINDOW_MS ms, $allowed allowed: $stated").takeIf { most > allowed }
    }

    private fun crashing(): List<Breach> {
        val crashes = arrivals.filter { it.handling == Handling.CRASHED }
        if (crashes.size < CRASHES) return emptyList()
        val boundMs = crashes[CRASHES - 1].atMs + bounds.contactWindowMs
        val late = crashes.filter { it.atMs > boundMs }
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
        const val MS_PER_SECOND = 1e3
        const val RETRY_WINDOW_MS = 10_000L
        const val RETRY_FRACTION = 0.2
        const val CRASHES = 3
        const val LATE_CRASHES = 3
        const val DENIED_SLACK = 5
        const val DENIED_SHARE = 500
    }
}
