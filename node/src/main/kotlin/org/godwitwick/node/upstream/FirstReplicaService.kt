package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import java.util.concurrent.atomic.AtomicInteger

/** Sends each request to the next live replica of its model in turn. */
class FirstReplicaService(
    private val engines: EngineClient,
    private val listed: () -> List<ListedInstance>,
    private val nowMs: () -> Long,
) : GenerateService {
    private val turn = AtomicInteger()

    override fun start(request: GenerateRequest): Result<TokenStream, Failure> {
        val replicas = listed().filter {
            it.kind == ListedKind.ENGINE && it.name == request.model && it.state == ListedState.LIVE
        }
        if (replicas.isEmpty()) return Err(Failure(ErrorKind.NO_UPSTREAM, "no live replica of model ${request.model}"))
        val replica = replicas[Math.floorMod(turn.getAndIncrement(), replicas.size)]
        return engines.generate(replica.address, engineMessage(request), request.deadline.remainingMs(nowMs()))
    }

    override fun cancel(organisation: OrganisationId, id: RequestId): Boolean = false

    private fun engineMessage(request: GenerateRequest) = EngineGenerate(
        requestId = request.id.value,
        model = request.model,
        prompt = request.prompt,
        maxTokens = request.maxTokens,
        priority = request.promptClass.ordinal,
        deadlineAtMs = request.deadline.atMs,
    )
}
