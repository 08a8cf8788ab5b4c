package org.godwitwick.node.admin

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.MAX_PUBLICATION_BYTES
import org.godwitwick.core.config.Publication
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.config.ConfigSystem
import org.godwitwick.node.config.PublicationResult
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.errorAnswer
import org.godwitwick.node.http.failureResponse
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.Principal
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.UUID

/** Routes of the administration API. Each request needs the key of an operator. */
class AdminRoutes(
    private val keys: KeyRing,
    private val config: ConfigSystem,
    private val control: ControlThread,
    private val listed: () -> List<ListedInstance>,
) {
    /** Returns all routes of the administration API. */
    fun routes(): RoutingHttpHandler = routes(
        "/admin/v1/publications" bind Method.POST to forOperator(::publish),
        "/admin/v1/config" bind Method.GET to forOperator { _, _, _ -> json(ConfigAnswer.serializer(), configAnswer()) },
        "/admin/v1/history" bind Method.GET to forOperator { _, _, _ -> json(HistoryAnswer.serializer(), history()) },
        "/admin/v1/upstreams" bind Method.GET to forOperator { _, _, _ -> json(UpstreamsAnswer.serializer(), upstreams()) },
        "/admin/v1/instances" bind Method.GET to forOperator { _, _, _ ->
            json(InstancesAnswer.serializer(), InstancesAnswer(config.store.state.appliedOffset, instances()))
        },
        "/admin/v1/audit" bind Method.GET to forOperator { _, _, _ ->
            json(AuditAnswer.serializer(), auditOf(config.store.state, config.freshness(), instances()))
        },
    )

    private fun forOperator(action: (Request, Principal.Operator, RequestId) -> Response): HttpHandler = { request ->
        val id = RequestId(UUID.randomUUID().toString())
        when (val principal = keys.principalOf(request.header("Authorization"))) {
            is Principal.Operator -> action(request, principal, id)

            is Principal.Caller -> failureResponse(
                Failure(ErrorKind.FORBIDDEN, "a caller's key does not give access to the administration API"),
                id,
            )

            null -> failureResponse(Failure(ErrorKind.UNAUTHENTICATED, "no valid key in the Authorization header"), id)
        }
    }

    private fun publish(request: Request, operator: Principal.Operator, id: RequestId): Response {
        val body = request.body.stream.readNBytes(MAX_PUBLICATION_BYTES + 1)
        if (body.size > MAX_PUBLICATION_BYTES) {
            return failureResponse(
                Failure(ErrorKind.TOO_LARGE, "the publication is larger than $MAX_PUBLICATION_BYTES bytes"),
                id,
            )
        }
        val publication = try {
            Json.decodeFromString(Publication.serializer(), body.decodeToString())
        } catch (e: IllegalArgumentException) {
            val cause = e.message?.lineSequence()?.first()?.take(MAX_MESSAGE_CHARS) ?: "the body is not a publication"
            return failureResponse(Failure(ErrorKind.BAD_REQUEST, cause), id)
        }
        // The history names the author of each change, so operators may publish only under their own names.
        if (publication.author != operator.name) {
            val message = "author is ${publication.author}, but the key belongs to ${operator.name}"
            return failureResponse(Failure(ErrorKind.FORBIDDEN, message), id)
        }
        return answer(publication, config.publications.publish(publication), id)
    }

    private fun answer(publication: Publication, result: PublicationResult, id: RequestId): Response = when (result) {
        is PublicationResult.Accepted -> json(
            PublishAnswer.serializer(),
            PublishAnswer(publication.id, result.offset, result.inForce, result.notConfirmed),
        )

        is PublicationResult.Conflicted -> {
            val first = result.conflicts.first()
            val message =
                "${first.name} in ${first.scope} is at version ${first.actualVersion}, expected ${first.expectedVersion}; " +
                    "changed by ${first.changedBy ?: "nobody"}; nothing took effect"
            failed(Failure(ErrorKind.CONFLICT, message), id) { it.copy(conflicts = result.conflicts) }
        }

        is PublicationResult.Invalid -> failed(
            Failure(ErrorKind.BAD_REQUEST, "the publication has ${result.faults.size} faults"),
            id,
        ) { it.copy(faults = result.faults) }

        is PublicationResult.NotAppended ->
            failureResponse(Failure(ErrorKind.LOG_UNAVAILABLE, result.message, retryAfterMs = result.retryAfterMs), id)

        is PublicationResult.Undecided ->
            failureResponse(Failure(ErrorKind.OUTCOME_PENDING, "at offset ${result.offset}: ${result.message}"), id)

        is PublicationResult.Unknown ->
            failureResponse(
                Failure(ErrorKind.OUTCOME_UNKNOWN, "${result.message}; sending the same publication again is safe"),
                id,
            )
    }

    private fun failed(failure: Failure, id: RequestId, add: (PublishFailure) -> PublishFailure): Response {
        val body = add(PublishFailure(errorAnswer(failure, id).error))
        return failureResponse(failure, id).body(answerJson.encodeToString(PublishFailure.serializer(), body))
    }

    private fun configAnswer(): ConfigAnswer {
        val state = config.store.state
        return ConfigAnswer(state.appliedOffset, config.freshness().label(), defaultViews(state), exceptionViews(state))
    }

    private fun history() = config.store.state.let { HistoryAnswer(it.appliedOffset, it.history.reversed()) }

    private fun instances(): List<InstanceView> {
        val states = config.peers.members.associate { it.id to it.state }
        return control.ask { config.fleet.appliedOffsets() }.get().map {
            InstanceView(it.id.value, it.region, it.dataCentre, states[it.id]?.name?.lowercase() ?: "unknown", it.offset)
        }
    }

    private fun upstreams() = UpstreamsAnswer(
        listed().filter { it.kind != ListedKind.ENTRY }.map {
            UpstreamView(
                id = it.id.value,
                kind = it.kind.name.lowercase(),
                name = it.name,
                address = it.address,
                region = it.region,
                dataCentre = it.dataCentre,
                rack = it.rack,
                state = it.state.name.lowercase(),
                checksFencing = it.checksFencing,
            )
        },
    )

    private fun <T> json(type: KSerializer<T>, body: T): Response =
        Response(Status.OK).header("Content-Type", "application/json").body(answerJson.encodeToString(type, body))

    private companion object {
        const val MAX_MESSAGE_CHARS = 200
        val answerJson = Json { encodeDefaults = true }
    }
}
