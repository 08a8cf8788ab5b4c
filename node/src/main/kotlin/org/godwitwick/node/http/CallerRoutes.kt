package org.godwitwick.node.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.Json
import org.godwitwick.core.admission.AdmissionConfig
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.metrics.RequestMeter
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.Principal
import org.godwitwick.node.upstream.GenerateService
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.slf4j.LoggerFactory
import org.slf4j.MDC
import java.io.IOException

/** The routes that callers use for model requests. */
class CallerRoutes(
    private val keys: KeyRing,
    private val generate: GenerateService,
    private val config: () -> ConfigView,
    private val nowMs: () -> Long,
    private val metrics: NodeMetrics = NodeMetrics(),
    private val refusal: () -> Failure? = { null },
    private val onDeadline: (Deadline) -> Unit = {},
) {
    /** All routes of this part. */
    fun routes(): RoutingHttpHandler = routes(
        "/v1/completions" bind Method.POST to forCaller(isNewWork = true, ::complete),
        "/v1/chat/completions" bind Method.POST to forCaller(isNewWork = true, ::chat),
        "/v1/requests/{id}/cancel" bind Method.POST to forCaller(isNewWork = false, ::cancel),
    )

    private fun forCaller(isNewWork: Boolean, action: (Request, OrganisationId, RequestTrack) -> Response): HttpHandler =
        { request ->
            val track = trackOf(request)
            val refused = if (isNewWork) refusal() else null
            val principal = keys.principalOf(request.header("Authorization"))
            when {
                principal is Principal.Caller && refused != null -> track.failed(refused)

                principal is Principal.Caller -> guarded(track) { action(request, principal.organisation, track) }

                principal is Principal.Operator -> track.failed(
                    Failure(ErrorKind.FORBIDDEN, "an operator's key can't send requests"),
                )

                else -> track.failed(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"))
            }
        }

    private fun trackOf(request: Request): RequestTrack {
        val id = RequestIds.of(request.header(REQUEST_ID_HEADER))
        MDC.put(REQUEST_ID_LOG_KEY, id.value)
        val arrivedNanos = request.header(StreamingUndertow.ARRIVAL_HEADER)?.toLongOrNull() ?: System.nanoTime()
        return RequestTrack(id, RequestMeter(metrics, arrivedNanos))
    }

    private fun complete(request: Request, organisation: OrganisationId, track: RequestTrack): Response {
        val message = lenientJson.decodeFromString<CompletionRequest>(request.bodyString())
        val admitted = admitted(request, organisation, track.id, message.model, message.prompt, message.maxTokens)
        return respond(generate.start(admitted), admitted, message.stream, CompletionFormat, track)
    }

    private fun chat(request: Request, organisation: OrganisationId, track: RequestTrack): Response {
        val message = lenientJson.decodeFromString<ChatRequest>(request.bodyString())
        val admitted = admitted(request, organisation, track.id, message.model, message.toPrompt(), message.maxTokens)
        return respond(generate.start(admitted), admitted, message.stream, ChatFormat, track)
    }

    private fun cancel(request: Request, organisation: OrganisationId, track: RequestTrack): Response {
        val target = RequestId(request.path("id") ?: "")
        if (!generate.cancel(organisation, target)) {
            return track.failed(Failure(ErrorKind.NOT_FOUND, "no request $target in flight"))
        }
        track.ended(null)
        return Response(Status.ACCEPTED)
    }

    private fun guarded(track: RequestTrack, action: () -> Response): Response = try {
        action()
    } catch (e: PromptTooLong) {
        track.failed(Failure(ErrorKind.TOO_LARGE, "the prompt has about ${e.promptTokens} tokens, more than ${e.maxTokens}"))
    } catch (e: IllegalArgumentException) {
        val message = e.message?.lineSequence()?.first()?.take(MAX_MESSAGE_CHARS) ?: "bad request"
        track.failed(Failure(ErrorKind.BAD_REQUEST, message))
    } catch (e: RuntimeException) {
        // The exception's message may quote the request, so only its type and place are logged.
        log.error("http: request failed with {} at {}", e.javaClass.name, e.stackTrace.firstOrNull())
        track.failed(Failure(ErrorKind.INTERNAL, "internal error"))
    } catch (e: IOException) {
        track.ended(Failure(ErrorKind.CANCELLED, "the request's body was not read to its end"))
        throw e
    }

    private fun admitted(
        request: Request,
        organisation: OrganisationId,
        id: RequestId,
        model: String,
        prompt: String,
        maxTokens: Int,
    ): GenerateRequest {
        require(maxTokens in 1..MAX_GENERATED_TOKENS) { "max_tokens is $maxTokens, expected 1 to $MAX_GENERATED_TOKENS" }
        val promptTokens = GenerateRequest.estimateTokens(prompt)
        val values = config()
        val promptClass = AdmissionConfig({ values }, model, "").classBounds.classOf(promptTokens)
        val subject = ConfigSubject(organisation = organisation.value, model = model, promptClass = promptClass.label)
        val maxPromptTokens = values.integer(ConfigField.MAX_PROMPT_TOKENS, subject)
        if (promptTokens > maxPromptTokens) throw PromptTooLong(promptTokens, maxPromptTokens)
        val deadline = deadlineOf(request, values.integer(ConfigField.TIMEOUT_MS, subject)).also(onDeadline)
        val priority = promptClass.ordinal + values.integer(ConfigField.PRIORITY, subject).toInt()
        return GenerateRequest(id, organisation, model, prompt, maxTokens, promptClass, deadline, priority)
    }

    private fun deadlineOf(request: Request, defaultTimeoutMs: Long): Deadline {
        val header = request.header("Request-Timeout-Ms") ?: return Deadline(nowMs() + defaultTimeoutMs)
        val timeoutMs = requireNotNull(header.toLongOrNull()?.takeIf { it > 0 }) {
            "Request-Timeout-Ms is not a positive number of milliseconds"
        }
        return Deadline(nowMs() + minOf(timeoutMs, defaultTimeoutMs))
    }

    private fun respond(
        started: Result<TokenStream, Failure>,
        request: GenerateRequest,
        isStreamed: Boolean,
        format: AnswerFormat,
        track: RequestTrack,
    ): Response = started.fold(
        {
            val tokens = track.meter.metered(it, request)
            if (isStreamed) streamed(tokens, request, format, track) else whole(tokens, request, format, track)
        },
        track::failed,
    )

    // The answer starts with its first event, so that a failure before it is an HTTP answer with its own status.
    private fun streamed(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat, track: RequestTrack): Response {
        val first = tokens.next()
        if (first is TokenEvent.Failed) {
            tokens.close()
            return track.failed(first.failure)
        }
        val body = SseBody(
            StartedStream(first, tokens),
            encodeToken = { Json.encodeToString(format.part(request, it.text)) },
            encodeFailure = { Json.encodeToString(errorAnswer(it, request.id)) },
            onEnd = track::ended,
        )
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header(REQUEST_ID_HEADER, request.id.value)
            .body(body)
    }

    private fun whole(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat, track: RequestTrack): Response =
        tokens.use {
            val text = StringBuilder()
            var event = tokens.next()
            while (event is TokenEvent.Token) {
                text.append(event.text)
                event = tokens.next()
            }
            when (event) {
                is TokenEvent.Done -> wholeAnswer(request, format, text.toString(), event.tokens).also { track.ended(null) }
                is TokenEvent.Failed -> track.failed(event.failure)
                is TokenEvent.Token -> error("a token can't end an answer")
            }
        }

    private fun wholeAnswer(request: GenerateRequest, format: AnswerFormat, text: String, tokens: Int): Response =
        Response(Status.OK)
            .header("Content-Type", "application/json")
            .header(REQUEST_ID_HEADER, request.id.value)
            .body(Json.encodeToString(format.whole(request, text, Usage(request.promptTokens, tokens))))

    private class PromptTooLong(val promptTokens: Int, val maxTokens: Long) : RuntimeException()

    private companion object {
        const val MAX_GENERATED_TOKENS = 65_536
        const val MAX_MESSAGE_CHARS = 200
        val lenientJson = Json { ignoreUnknownKeys = true }
        val log = LoggerFactory.getLogger(CallerRoutes::class.java)
    }
}
