package org.godwitwick.node.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
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
import org.godwitwick.node.memory.BodyMemory
import org.godwitwick.node.memory.BodyShare
import org.godwitwick.node.memory.bodyMemoryBytes
import org.godwitwick.node.memory.bodyMemoryExhausted
import org.godwitwick.node.memory.readBody
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.metrics.RequestMeter
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.Principal
import org.godwitwick.node.upstream.GenerateService
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
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

/**
 * The routes on which callers send and cancel model requests.
 *
 * @property refusal returns the failure with which new requests are refused, or null while they are served.
 * @property onDeadline called with the deadline of each valid request.
 * @property bodyMemory memory for the bodies of requests.
 */
class CallerRoutes(
    private val keys: KeyRing,
    private val generate: GenerateService,
    private val config: () -> ConfigView,
    private val nowMs: () -> Long,
    private val metrics: NodeMetrics = NodeMetrics(),
    private val refusal: () -> Failure? = { null },
    private val onDeadline: (Deadline) -> Unit = {},
    private val bodyMemory: BodyMemory = BodyMemory(bodyMemoryBytes(), nowMs),
) {
    /** Returns the routes. */
    fun routes(): RoutingHttpHandler = routes(
        "/v1/completions" bind Method.POST to forCaller(isNewWork = true, ::complete),
        "/v1/chat/completions" bind Method.POST to forCaller(isNewWork = true, ::chat),
        "/v1/requests/{id}/cancel" bind Method.POST to forCaller(isNewWork = false, ::cancel),
    )

    private fun forCaller(isNewWork: Boolean, action: (Request, OrganisationId, RequestRecorder) -> Response): HttpHandler =
        { request ->
            val recorder = recorderOf(request)
            val refused = if (isNewWork) refusal() else null
            val principal = keys.principalOf(request.header("Authorization"))
            when {
                principal is Principal.Caller && refused != null -> recorder.failWith(refused)

                principal is Principal.Caller -> bodyMemory.holding { share ->
                    answerExceptions(recorder) { action(held(request, share), principal.organisation, recorder) }
                }

                principal is Principal.Operator -> recorder.failWith(
                    Failure(ErrorKind.FORBIDDEN, "an operator key cannot send requests"),
                )

                else -> recorder.failWith(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"))
            }
        }

    // The text and the prompt are copies of the body.
    private fun held(request: Request, share: BodyShare): Request {
        val largestBytes = minOf(MAX_BODY_BYTES, bodyMemory.largestBytes / BODY_COPIES).toInt()
        val body = readBody(request, largestBytes, share).getOrElse { throw RefusedBody(it) }
        if (!share.resize(body.size * BODY_COPIES)) throw RefusedBody(bodyMemoryExhausted)
        return request.body(MemoryBody(body))
    }

    private fun recorderOf(request: Request): RequestRecorder {
        val id = RequestIds.of(request.header(REQUEST_ID_HEADER))
        MDC.put(REQUEST_ID_LOG_KEY, id.value)
        val arrivedNanos = request.header(StreamingUndertow.ARRIVAL_HEADER)?.toLongOrNull() ?: System.nanoTime()
        return RequestRecorder(id, RequestMeter(metrics, arrivedNanos))
    }

    private fun complete(request: Request, organisation: OrganisationId, recorder: RequestRecorder): Response {
        val message = lenientJson.decodeFromString<CompletionRequest>(request.bodyString())
        val generateRequest = buildRequest(request, organisation, recorder.id, message.model, message.prompt, message.maxTokens)
        return respond(generate.start(generateRequest), generateRequest, message.stream, CompletionFormat, recorder)
    }

    private fun chat(request: Request, organisation: OrganisationId, recorder: RequestRecorder): Response {
        val message = lenientJson.decodeFromString<ChatRequest>(request.bodyString())
        val generateRequest =
            buildRequest(request, organisation, recorder.id, message.model, message.toPrompt(), message.maxTokens)
        return respond(generate.start(generateRequest), generateRequest, message.stream, ChatFormat, recorder)
    }

    private fun cancel(request: Request, organisation: OrganisationId, recorder: RequestRecorder): Response {
        val target = RequestId(request.path("id") ?: "")
        if (!generate.cancel(organisation, target)) {
            return recorder.failWith(Failure(ErrorKind.NOT_FOUND, "no request $target in flight"))
        }
        recorder.end(null)
        return Response(Status.ACCEPTED)
    }

    private fun answerExceptions(recorder: RequestRecorder, action: () -> Response): Response = try {
        action()
    } catch (e: PromptTooLong) {
        recorder.failWith(
            Failure(ErrorKind.TOO_LARGE, "the prompt has about ${e.promptTokens} tokens, the limit is ${e.maxTokens}"),
        )
    } catch (e: RefusedBody) {
        recorder.failWith(e.failure)
    } catch (e: IllegalArgumentException) {
        val message = e.message?.lineSequence()?.first()?.take(MAX_MESSAGE_CHARS) ?: "bad request"
        recorder.failWith(Failure(ErrorKind.BAD_REQUEST, message))
    } catch (e: RuntimeException) {
        // The message of the exception may quote the request, so only its type and location are logged.
        log.error("http: request handler failed with {} at {}", e.javaClass.name, e.stackTrace.firstOrNull())
        recorder.failWith(Failure(ErrorKind.INTERNAL, "internal error"))
    } catch (e: IOException) {
        recorder.end(Failure(ErrorKind.CANCELLED, "the request body could not be read completely"))
        throw e
    }

    private fun buildRequest(
        request: Request,
        organisation: OrganisationId,
        id: RequestId,
        model: String,
        prompt: String,
        maxTokens: Int,
    ): GenerateRequest {
        require(maxTokens in 1..MAX_GENERATED_TOKENS) { "max_tokens is $maxTokens, expected 1 to $MAX_GENERATED_TOKENS" }
        val promptTokens = GenerateRequest.estimateTokens(prompt)
        val configView = config()
        val promptClass = AdmissionConfig({ configView }, model, "").classBounds.classOf(promptTokens)
        val subject = ConfigSubject(organisation = organisation.value, model = model, promptClass = promptClass.label)
        val maxPromptTokens = configView.integer(ConfigField.MAX_PROMPT_TOKENS, subject)
        if (promptTokens > maxPromptTokens) throw PromptTooLong(promptTokens, maxPromptTokens)
        val deadline = deadlineOf(request, configView.integer(ConfigField.TIMEOUT_MS, subject)).also(onDeadline)
        val priority = promptClass.ordinal + configView.integer(ConfigField.PRIORITY, subject).toInt()
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
        recorder: RequestRecorder,
    ): Response = started.fold(
        {
            val tokens = recorder.meter.measure(it, request)
            if (isStreamed) stream(tokens, request, format, recorder) else buffer(tokens, request, format, recorder)
        },
        recorder::failWith,
    )

    // Waits for the first event before answering, so that a failure before it gets an HTTP response with its own status.
    private fun stream(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat, recorder: RequestRecorder): Response {
        val first = tokens.next()
        if (first is TokenEvent.Failed) {
            tokens.close()
            return recorder.failWith(first.failure)
        }
        val body = SseBody(
            StartedStream(first, tokens),
            encodeToken = { Json.encodeToString(format.chunk(request, it.text)) },
            encodeFailure = { Json.encodeToString(errorAnswer(it, request.id)) },
            onEnd = recorder::end,
        )
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header(REQUEST_ID_HEADER, request.id.value)
            .body(body)
    }

    private fun buffer(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat, recorder: RequestRecorder): Response =
        tokens.use {
            val text = StringBuilder()
            var event = tokens.next()
            while (event is TokenEvent.Token) {
                text.append(event.text)
                event = tokens.next()
            }
            when (event) {
                is TokenEvent.Done -> responseOf(request, format, text.toString(), event.tokens).also { recorder.end(null) }
                is TokenEvent.Failed -> recorder.failWith(event.failure)
                is TokenEvent.Token -> error("a token event cannot end an answer")
            }
        }

    private fun responseOf(request: GenerateRequest, format: AnswerFormat, text: String, tokens: Int): Response =
        Response(Status.OK)
            .header("Content-Type", "application/json")
            .header(REQUEST_ID_HEADER, request.id.value)
            .body(Json.encodeToString(format.full(request, text, Usage(request.promptTokens, tokens))))

    private class RefusedBody(val failure: Failure) : RuntimeException()

    private class PromptTooLong(val promptTokens: Int, val maxTokens: Long) : RuntimeException()

    private companion object {
        const val MAX_GENERATED_TOKENS = 65_536
        const val MAX_MESSAGE_CHARS = 200
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val BODY_COPIES = 3L
        val lenientJson = Json { ignoreUnknownKeys = true }
        val log = LoggerFactory.getLogger(CallerRoutes::class.java)
    }
}
