package org.godwitwick.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.claim.ClaimKey
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.checkKey
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.claim.AtMostOnceCaller
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.node.memory.BodyShare
import org.godwitwick.node.memory.bodyMemoryBytes
import org.godwitwick.node.memory.bodyMemoryExhausted
import org.godwitwick.node.memory.readBody
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.Principal
import org.godwitwick.node.upstream.ServiceAnswer
import org.godwitwick.node.upstream.ServiceCall
import org.godwitwick.node.upstream.ServiceClient
import org.godwitwick.node.upstream.ServiceReplicas
import org.godwitwick.node.upstream.ServiceRetryBudget
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.security.MessageDigest
import java.util.UUID

/**
 * The routes `/services/{service}/{path}`, which forward calls to plain services.
 *
 * Only declared routes are served. Calls of routes that are declared idempotent are retried within the retry budget; calls of
 * other routes need an idempotency key and run at most once.
 *
 * @property maxBodyBytes largest accepted request body, in bytes.
 * @property bodyMemory memory for the bodies of requests and answers.
 */
class ServiceRoutes(
    private val keys: KeyRing,
    private val config: () -> ConfigView,
    private val routeTable: ServiceRouteTable,
    private val replicas: ServiceReplicas,
    private val client: ServiceClient,
    private val atMostOnce: AtMostOnceCaller,
    private val nowMs: () -> Long,
    private val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    private val bodyMemory: BodyMemory = BodyMemory(bodyMemoryBytes(), nowMs),
) {
    private val retryBudget = ServiceRetryBudget()

    /** Returns the routes. */
    fun routes(): RoutingHttpHandler = routes(
        *Method.entries.map { "$PREFIX{service}/{path:.*}" bind it to ::handle }.toTypedArray(),
    )

    private fun handle(request: Request): Response {
        val id = RequestId(UUID.randomUUID().toString())
        val organisation = when (val principal = keys.principalOf(request.header("Authorization"))) {
            is Principal.Caller -> principal.organisation

            is Principal.Operator -> return failureResponse(
                Failure(ErrorKind.FORBIDDEN, "an operator key cannot send requests"),
                id,
            )

            null -> return failureResponse(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"), id)
        }
        return bodyMemory.holding { share ->
            serve(request, organisation, id, share).fold({ answerResponse(it, id) }, { failureResponse(it, id) })
        }
    }

    private fun serve(
        request: Request,
        organisation: OrganisationId,
        id: RequestId,
        share: BodyShare,
    ): Result<ServiceAnswer, Failure> {
        val target = request.uri.path.removePrefix(PREFIX)
        val service = target.substringBefore('/')
        val path = "/" + target.substringAfter('/', "")
        if (!isSafePath(
                path,
            )
        ) {
            return Err(Failure(ErrorKind.BAD_REQUEST, "the path contains a dot segment or a character that is not allowed"))
        }
        val route = routeTable.find(service, request.method.name, path)
            ?: return Err(
                Failure(ErrorKind.NOT_FOUND, "service $service has no declared route for ${request.method} on this path"),
            )
        val subject = ConfigSubject(organisation = organisation.value, service = service)
        val deadline = deadlineOf(request, subject).getOrElse { return Err(it) }
        val body = readBody(request, minOf(maxBodyBytes.toLong(), bodyMemory.largestBytes).toInt(), share).getOrElse {
            return Err(it)
        }
        // After the call has run, it would be too late to refuse it for want of memory for a short answer.
        if (!share.resize(body.size + MIN_ANSWER_BYTES)) return Err(bodyMemoryExhausted)
        val call = ServiceCall(id, request.method.name, path, request.uri.query, forwardedHeaders(request), body, share)
        if (replicas.addressOf(service) == null) return Err(noUpstream(service))
        return if (route.idempotent) {
            runWithRetries(
                call,
                service,
                subject,
                deadline,
            )
        } else {
            runAtMostOnce(call, request, organisation, service, deadline)
        }
    }

    private fun runAtMostOnce(
        call: ServiceCall,
        request: Request,
        organisation: OrganisationId,
        service: String,
        deadline: Deadline,
    ): Result<ServiceAnswer, Failure> {
        val limits = ClaimLimits(config().integer(ConfigField.CLAIM_WINDOW_MS))
        val key = checkKey(request.header(ServiceClient.IDEMPOTENCY_KEY), limits, nowMs()).getOrElse { return Err(it) }
        return atMostOnce.run(call, ClaimKey(organisation, service, key), hashOf(call), deadline) { replicas.addressOf(service) }
    }

    private fun runWithRetries(
        call: ServiceCall,
        service: String,
        subject: ConfigSubject,
        deadline: Deadline,
    ): Result<ServiceAnswer, Failure> {
        retryBudget.countCall(nowMs())
        val tried = HashSet<String>()
        while (true) {
            val address = replicas.addressOf(service, tried) ?: return Err(noUpstream(service))
            tried += address
            val result = client.send(address, call, deadline.remainingMs(nowMs()))
            if (result.fold({ it.body != null && it.status !in RETRYABLE_STATUSES }, { false })) return result.orFailure()
            if (deadline.isPast(nowMs())) return Err(Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed"))
            if (!retryBudget.tryRetry(config().fraction(ConfigField.RETRY_FRACTION, subject), nowMs())) return result.orFailure()
            if (tried.size > MAX_ATTEMPTS) return result.orFailure()
        }
    }

    private fun Result<ServiceAnswer, String>.orFailure(): Result<ServiceAnswer, Failure> = fold(
        {
            if (it.body ==
                null
            ) {
                Err(
                    Failure(
                        ErrorKind.UPSTREAM_FAILED,
                        "the answer is larger than the limit or than the free memory",
                        Executed.YES,
                    ),
                )
            } else {
                Ok(it)
            }
        },
        { Err(Failure(ErrorKind.UPSTREAM_FAILED, it)) },
    )

    private fun noUpstream(service: String) = Failure(ErrorKind.NO_UPSTREAM, "no live replica of service $service")

    private fun deadlineOf(request: Request, subject: ConfigSubject): Result<Deadline, Failure> {
        val limitMs = config().integer(ConfigField.TIMEOUT_MS, subject)
        val header = request.header(TIMEOUT_HEADER) ?: return Ok(Deadline(nowMs() + limitMs))
        val timeoutMs = header.toLongOrNull()?.takeIf { it > 0 }
            ?: return Err(Failure(ErrorKind.BAD_REQUEST, "$TIMEOUT_HEADER is not a positive number of milliseconds"))
        return Ok(Deadline(nowMs() + minOf(timeoutMs, limitMs)))
    }

    // Dot segments, also percent-encoded ones, could lead to a path outside the declared prefix.
    private fun isSafePath(path: String): Boolean = path.none { it in FORBIDDEN_CHARS || it.isISOControl() } &&
        path.split('/').none { it.lowercase().replace("%2e", ".") in DOT_SEGMENTS }

    private fun forwardedHeaders(request: Request): List<Pair<String, String>> = request.headers.mapNotNull { (name, value) ->
        value?.takeIf { name.lowercase() !in DROPPED_REQUEST_HEADERS }?.let { name to it }
    }

    private fun hashOf(call: ServiceCall): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${call.method}\n${call.path}\n${call.query}\n".toByteArray())
        return digest.digest(call.body).joinToString("") { "%02x".format(it) }
    }

    private fun answerResponse(answer: ServiceAnswer, id: RequestId): Response = Response(Status(answer.status, ""))
        .headers(answer.headers.filter { it.first.lowercase() !in DROPPED_ANSWER_HEADERS })
        .header(ServiceClient.REQUEST_ID, id.value)
        .body(MemoryBody(answer.body ?: ByteArray(0)))

    private companion object {
        const val PREFIX = "/services/"
        const val TIMEOUT_HEADER = "Request-Timeout-Ms"
        const val DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
        const val MAX_ATTEMPTS = 3
        const val MIN_ANSWER_BYTES = 64L * 1024
        val RETRYABLE_STATUSES = setOf(502, 503, 504)
        val FORBIDDEN_CHARS = setOf('?', '#', '\\')
        val DOT_SEGMENTS = setOf(".", "..")
        val HOP_BY_HOP_HEADERS =
            setOf(
                "connection",
                "keep-alive",
                "proxy-authenticate",
                "proxy-authorization",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
            )

        // Not forwarded: services must not receive the caller's key, and callers must not choose a fencing number.
        val DROPPED_REQUEST_HEADERS =
            HOP_BY_HOP_HEADERS +
                setOf("authorization", "host", "content-length", "expect", "accept-encoding", "fencing-number", "request-id")
        val DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS + setOf("content-length", "request-id")
    }
}
