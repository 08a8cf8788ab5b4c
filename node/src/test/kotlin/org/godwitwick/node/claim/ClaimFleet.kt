package org.godwitwick.node.claim

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimKey
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.ClaimShards
import org.godwitwick.core.claim.IdempotencyKey
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.node.http.ErrorAnswer
import org.godwitwick.node.http.ServiceRouteTable
import org.godwitwick.node.http.ServiceRoutes
import org.godwitwick.node.peer.ClaimRuling
import org.godwitwick.node.platform.HttpPlatformLog
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.upstream.ServiceClient
import org.godwitwick.node.upstream.ServiceReplicas
import org.godwitwick.standins.log.FakeLog
import org.godwitwick.standins.log.LogFaults
import org.godwitwick.standins.service.FakeService
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.atomic.AtomicLong

/** Entry instances that share one log and one service, with a clock that the test advances. */
class ClaimFleet(instances: Int = 2, shards: Int = 1, checksFencing: Boolean = false, settings: ClaimSettings = FAST_SETTINGS) :
    AutoCloseable {
    /** Current time of the instances, in milliseconds since the epoch. */
    val clock = AtomicLong(START_MS)

    /** Lead of the log's clock over the clock of the instances. */
    val logAheadMs = AtomicLong()
    val log = FakeLog(0, nowMs = { clock.get() + logAheadMs.get() })
    val service = FakeService(0, checksFencing)
    val hub = PeerHub()
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()
    private val keyNumbers = AtomicLong()
    private val shardsOfFleet = ClaimShards(shards)
    val instances = (1..instances).map { Instance(InstanceId("entry-$it"), settings.copy(shards = shardsOfFleet)) }

    /** One entry instance. */
    inner class Instance(val id: InstanceId, settings: ClaimSettings) : AutoCloseable {
        /** Hook that is called with the ruling before the claimant acts on it. */
        @Volatile
        var afterClaim: (ClaimRuling) -> Unit = {}
        private val metrics = ClaimMetrics(PrometheusRegistry())
        private val replicas = ServiceReplicas { listOf(LISTED.copy(address = service.address)) }
        private val logClient = HttpPlatformLog(client, "http://${log.address}")
        private val limits = { ClaimLimits(WINDOW_MS) }
        private val network = hub.networkOf(id)
        val claims = ClaimService(
            id, LISTED.region, logClient, network, replicas::homeRegionOf, replicas::names, limits, settings, metrics, clock::get,
        )
        private val observed = object : ClaimClient by claims {
            override fun claim(claim: Claim, timeoutMs: Long) = claims.claim(claim, timeoutMs).also { afterClaim(it) }
        }
        private val serviceClient = ServiceClient(client)
        private val atMostOnce = AtMostOnceCaller(id, observed, serviceClient, settings, metrics, clock::get)
        private val table = ServiceRouteTable { CONFIG }
        private val http = ServiceRoutes(KEYS, { CONFIG }, table, replicas, serviceClient, atMostOnce, clock::get).routes()

        /** Sends a request and returns its answer. */
        fun call(
            key: String?,
            body: String = "table for 4",
            path: String = "bookings",
            caller: String = "caterer",
            method: Method = Method.POST,
            timeoutMs: Long = 20_000,
        ): Response {
            val request = Request(method, "/services/order-desk/$path")
                .header("Authorization", "Bearer $caller")
                .header("Request-Timeout-Ms", "$timeoutMs")
                .body(body)
            return http(if (key == null) request else request.header("Idempotency-Key", key))
        }

        override fun close() = claims.close()
    }

    /** Returns a new key that was created [ageMs] before the current time. */
    fun newKey(ageMs: Long = 0): String {
        val time = "%012x".format(clock.get() - ageMs)
        return "${time.take(8)}-${time.drop(8)}-7000-8000-%012x".format(keyNumbers.incrementAndGet())
    }

    /** Returns the instance that owns the shard of [key], and another instance. */
    fun ownerAndOther(key: String): Pair<Instance, Instance> {
        val stream = shardsOfFleet.streamOf(
            ClaimKey(OrganisationId("caterer"), "order-desk", checkNotNull(IdempotencyKey.parse(key))),
        )
        val owner = shardsOfFleet.ownerOf(stream, instances.map { it.id })
        return instances.first { it.id == owner } to instances.first { it.id != owner }
    }

    /** Calls all of [callers] with [key] concurrently and returns their answers. */
    fun callConcurrently(callers: List<Instance>, key: String): List<Response> {
        val barrier = CyclicBarrier(callers.size)
        return callers.map { async { barrier.await().let { _ -> it.call(key) } } }.map { it.get() }
    }

    /** Retries the call with [key] until its outcome is no longer pending and returns the last answer. */
    fun callUntilSettled(instance: Instance, key: String): Response {
        var answer = instance.call(key)
        await {
            if (answer.kind == ErrorKind.OUTCOME_PENDING) answer = instance.call(key)
            answer.kind != ErrorKind.OUTCOME_PENDING
        }
        return answer
    }

    override fun close() {
        log.setFaults(LogFaults())
        service.close()
        instances.forEach { it.close() }
        log.close()
        client.connectionPool.evictAll()
    }

    companion object {
        /** Time at which each test begins, in milliseconds since the epoch. */
        const val START_MS = 1_800_000_000_000L
        const val WINDOW_MS = 900_000L
        private const val AWAIT_NANOS = 20_000_000_000L

        /** Settings with a short retry delay, without an append rate limit and without automatic keep-alive. */
        val FAST_SETTINGS = ClaimSettings(
            claimTimeoutMs = 5_000,
            ownerTimeoutMs = 4_000,
            retryDelayMs = 2,
            appendBurst = Int.MAX_VALUE,
            keepAliveCheckMs = 3_600_000,
        )

        /** [FAST_SETTINGS] with shorter timeouts, for tests in which the log does not answer. */
        val SHORT_TIMEOUTS = FAST_SETTINGS.copy(claimTimeoutMs = 1_500, ownerTimeoutMs = 1_000)
        private val KEYS = KeyRing(
            listOf("caterer", "bakery").map { KeyEntry(sha256Hex(it), organisation = it) } +
                KeyEntry(sha256Hex("operator"), operator = "op"),
        )
        private val LISTED = ListedInstance(InstanceId("d"), ListedKind.SERVICE, "order-desk", "", null, "tn-north", "tn-north-a")
        private const val ROUTES =
            """[{"method":"POST","pathPrefix":"/bookings","idempotent":false},{"method":"GET","pathPrefix":"/status","idempotent":true}]"""
        private val CONFIG = object : ConfigView {
            override val appliedOffset = 0L

            override fun text(field: ConfigField, subject: ConfigSubject): String =
                if (field == ConfigField.SERVICE_ROUTES && subject.service == "order-desk") ROUTES else field.defaultValue
        }

        /** Runs [action] with a new fleet. It returns [Unit], because JUnit ignores test functions that return a value. */
        fun withFleet(
            instances: Int = 2,
            checksFencing: Boolean = false,
            settings: ClaimSettings = FAST_SETTINGS,
            action: (ClaimFleet) -> Unit,
        ) = ClaimFleet(instances, checksFencing = checksFencing, settings = settings).use(action)

        /** Waits until [condition] is true, and fails after 20 s. */
        fun await(condition: () -> Boolean) {
            val endNanos = System.nanoTime() + AWAIT_NANOS
            while (!condition()) {
                check(System.nanoTime() < endNanos) { "condition was not met within the timeout" }
                Thread.onSpinWait()
            }
        }

        /** Runs [action] on a new thread. */
        fun <T> async(action: () -> T): CompletableFuture<T> {
            val future = CompletableFuture<T>()
            Thread { runCatching(action).fold(future::complete, future::completeExceptionally) }.apply { isDaemon = true }.start()
            return future
        }

        /** Kind of the error in an answer, or null if it contains no error. */
        val Response.kind: ErrorKind? get() = error?.let { ErrorKind.ofCode(it.error.kind) }

        /** Whether the call was executed according to the error in an answer, or null if it contains no error. */
        val Response.ran: Executed? get() = error?.error?.ran
        private val Response.error: ErrorAnswer? get() = runCatching {
            Json.decodeFromString<ErrorAnswer>(bodyString())
        }.getOrNull()
    }
}
