package org.godwitwick.lab.upstream

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import okhttp3.OkHttpClient
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.HoldOwner
import org.godwitwick.node.upstream.SuspicionBroadcaster
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.godwitwick.node.upstream.roundRobinSelector
import org.godwitwick.standins.engine.FakeEngine
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Stand-in engines in this process, and the gateways of entry instances to them. */
class EngineFleet(
    count: Int,
    private val stallMs: Long = 2_000,
    engineOf: (Int) -> FakeEngine = { FakeEngine(0, timeScale = 20.0) },
) : AutoCloseable {
    val engines = List(count, engineOf)
    private val gateways = ArrayList<EngineGateway>()

    val rows = engines.mapIndexed { index, engine -> row(index, engine.address) }

    /** Creates the gateway of the entry instance [name], which has polled all engines once. */
    fun gateway(
        name: String = "entry-1",
        incarnation: String = "1",
        broadcaster: SuspicionBroadcaster = SuspicionBroadcaster { },
    ): EngineGateway {
        val gateway = EngineGateway(client(stallMs), { rows }, HoldOwner(InstanceId(name), incarnation), broadcaster) {
            roundRobinSelector({ rows }, it)
        }
        gateways += gateway
        gateway.watcher.poll()
        return gateway
    }

    /** Engines that run at least one request. */
    fun busy(): List<FakeEngine> = engines.filter { it.running > 0 }

    /** Waits until no engine that is alive has a hold or used memory; fails after 10 s. */
    fun awaitFree() = await("no engine has a hold or used memory") { engines.all { it.holds.isEmpty() && it.kvUsedTokens == 0 } }

    override fun close() {
        gateways.forEach { it.close() }
        engines.forEach { it.close() }
    }

    private fun row(index: Int, address: String) = ListedInstance(
        id = InstanceId("engine-$index"),
        kind = ListedKind.ENGINE,
        name = "menu",
        address = address,
        region = "tn-north",
        dataCentre = "tn-north-a",
        rack = "rack-$index",
    )
}

fun client(stallMs: Long): OkHttpClient = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .connectTimeout(stallMs, TimeUnit.MILLISECONDS)
    .readTimeout(stallMs, TimeUnit.MILLISECONDS)
    .build()

fun request(
    prompt: String,
    maxTokens: Int = 40,
    timeoutMs: Long = 20_000,
    id: String = UUID.randomUUID().toString(),
    organisation: String = "caterer",
) = GenerateRequest(
    RequestId(id),
    OrganisationId(organisation),
    "menu",
    prompt,
    maxTokens,
    ClassBounds().classOf(GenerateRequest.estimateTokens(prompt)),
    Deadline(System.currentTimeMillis() + timeoutMs),
)

fun Result<TokenStream, Failure>.orThrow(): TokenStream = getOrElse { error("the request was not started: $it") }

/** Reads [count] tokens; fails if another event comes first. */
fun TokenStream.take(count: Int): List<String> = List(count) { (next() as TokenEvent.Token).text }

/** Reads the stream to its end; returns the text of all tokens, and the last event. */
fun TokenStream.readAll(): Pair<List<String>, TokenEvent> = use {
    val texts = ArrayList<String>()
    var event = next()
    while (event is TokenEvent.Token) {
        texts += event.text
        event = next()
    }
    texts to event
}

/** Polls [condition] until it is true; fails with [what] after 10 s. */
fun await(what: String, condition: () -> Boolean) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
    while (!condition()) {
        check(System.nanoTime() < end) { "timed out after 10 s waiting for: $what" }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2))
    }
}
