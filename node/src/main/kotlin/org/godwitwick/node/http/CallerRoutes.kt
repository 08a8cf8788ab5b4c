package org.godwitwick.node.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.Json
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
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
import java.util.UUID

/** The routes that callers use for model requests. */
class CallerRoutes(
    private val keys: KeyRing,
    private val generate: GenerateService,
    private val bounds: () -> ClassBounds,
    private val defaultTimeoutMs: Long,
    private val nowMs: () -> Long,
) {
    /** All routes of this part. */
    fun routes(): RoutingHttpHandler = routes(
        "/v1/completions" bind Method.POST to forCaller(::complete),
        "/v1/chat/completions" bind Method.POST to forCaller(::chat),
        "/v1/requests/{id}/cancel" bind Method.POST to forCaller(::cancel),
    )

    private fun forCaller(action: (Request, OrganisationId, RequestId) -> Response): HttpHandler = { request ->
        val id = RequestId(UUID.randomUUID().toString())
        when (val principal = keys.principalOf(request.header("Authorization"))) {
            is Principal.Caller -> action(request, principal.organisation, id)
            is Principal.Operator -> failureResponse(Failure(ErrorKind.FORBIDDEN, "an operator's key can't send requests"), id)
            null -> failureResponse(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"), id)
        }
    }

    private fun complete(request: Request, organisation: OrganisationId, id: RequestId): Response = withBadRequest(id) {
        val message = lenientJson.decodeFromString<CompletionRequest>(request.bodyString())
        val admitted = admitted(request, organisation, id, message.model, message.prompt, message.maxTokens)
        respond(generate.start(admitted), admitted, message.stream, CompletionFormat)
    }

    private fun chat(request: Request, organisation: OrganisationId, id: RequestId): Response = withBadRequest(id) {
        val message = lenientJson.decodeFromString<ChatRequest>(request.bodyString())
        val admitted = admitted(request, organisation, id, message.model, message.toPrompt(), message.maxTokens)
        respond(generate.start(admitted), admitted, message.stream, ChatFormat)
    }

    private fun cancel(request: Request, organisation: OrganisationId, id: RequestId): Response {
        val target = RequestId(request.path("id") ?: "")
        if (generate.cancel(organisation, target)) return Response(Status.ACCEPTED)
        return failureResponse(Failure(ErrorKind.NOT_FOUND, "no request $target in flight"), id)
    }

    private fun withBadRequest(id: RequestId, action: () -> Response): Response = try {
        action()
    } catch (e: IllegalArgumentException) {
        failureResponse(
            Failure(
                ErrorKind.BAD_REQUEST,
                e.message?.lineSequence()?.first()?.take(MAX_MESSAGE_CHARS) ?: "bad request",
            ),
            id,
        )
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
        val promptClass = bounds().classOf(GenerateRequest.estimateTokens(prompt))
        return GenerateRequest(id, organisation, model, prompt, maxTokens, promptClass, deadlineOf(request))
    }

    private fun deadlineOf(request: Request): Deadline {
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
    ): Response = started.fold(
        { tokens -> if (isStreamed) streamed(tokens, request, format) else whole(tokens, request, format) },
        { failureResponse(it, request.id) },
    )

    // The answer starts with its first event, so that a failure before it is an HTTP answer with its own status.
    private fun streamed(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat): Response {
        val first = tokens.next()
        if (first is TokenEvent.Failed) {
            tokens.close()
            return failureResponse(first.failure, request.id)
        }
        val body = SseBody(
            StartedStream(first, tokens),
            encodeToken = { Json.encodeToString(format.part(request, it.text)) },
            encodeFailure = { Json.encodeToString(errorAnswer(it, request.id)) },
            onEnd = { },
        )
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("Request-Id", request.id.value)
            .body(body)
    }

    private fun whole(tokens: TokenStream, request: GenerateRequest, format: AnswerFormat): Response = tokens.use {
        val text = StringBuilder()
        var event = tokens.next()
        while (event is TokenEvent.Token) {
            text.append(event.text)
            event = tokens.next()
        }
        when (event) {
            is TokenEvent.Done -> wholeAnswer(request, format, text.toString(), event.tokens)
            is TokenEvent.Failed -> failureResponse(event.failure, request.id)
            is TokenEvent.Token -> error("a token can't end an answer")
        }
    }

    private fun wholeAnswer(request: GenerateRequest, format: AnswerFormat, text: String, tokens: Int): Response =
        Response(Status.OK)
            .header("Content-Type", "application/json")
            .header("Request-Id", request.id.value)
            .body(Json.encodeToString(format.whole(request, text, Usage(request.promptTokens, tokens))))

    private companion object {
        const val MAX_GENERATED_TOKENS = 65_536
        const val MAX_MESSAGE_CHARS = 200
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
