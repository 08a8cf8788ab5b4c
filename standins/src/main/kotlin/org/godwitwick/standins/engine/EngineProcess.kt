package org.godwitwick.standins.engine

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.SameThreadExecutor
import kotlinx.serialization.json.Json
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.bodyText
import org.godwitwick.standins.query
import org.godwitwick.standins.sendJson
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

internal data class EngineSetup(
    val spec: EngineSpec,
    val loadLagMs: Long,
    val cacheEventDelayMs: Long,
    val cacheEventGapEvery: Int,
    val checksFencing: Boolean,
)

/** One incarnation of a [FakeEngine], from a start to a crash: its server, scheduler loop and KV cache. */
internal class EngineProcess(
    port: Int,
    private val setup: EngineSetup,
    private val faults: EngineFaults,
    private val onFault: (FaultMessage) -> Boolean,
    private val onCrash: () -> Unit,
) : AutoCloseable {
    val incarnation: String = UUID.randomUUID().toString()
    val dispatches = AtomicInteger()
    val orders = EngineOrders(setup.checksFencing)

    @Volatile
    var isLeaving = false

    private val startedNs = System.nanoTime()
    private val cacheEvents = CacheEventLog(setup.cacheEventDelayMs, setup.cacheEventGapEvery)
    private val lock = Object()
    private val scheduler = EngineScheduler(
        setup.spec,
        KvCache(setup.spec.kvCapacityTokens) { cacheEvents.add(it, System.currentTimeMillis()) },
        ::survives,
    )
    private val streams = HashMap<String, StreamOutput>()
    private val loadSamples = ArrayDeque<Pair<Long, LoadMessage>>()

    @Volatile
    private var isStopped = false
    private val server = FakeServer(port, WORKER_THREADS, ::handle)
    private val loop = Thread(::runLoop, "engine-$port").apply { isDaemon = true }

    val port: Int get() = server.port

    val kvUsedTokens: Int get() = synchronized(lock) { scheduler.kvCache.usedTokens }

    val holds: List<EngineHold> get() = synchronized(lock) { scheduler.kvCache.holds }

    val running: Int get() = synchronized(lock) { scheduler.running }

    init {
        loop.start()
    }

    fun freezeStreams() = synchronized(lock) { streams.values.forEach { it.isFrozen = true } }

    fun resetStreams() {
        synchronized(lock) { streams.keys.toList().forEach(::cancelStream) }
    }

    override fun close() {
        synchronized(lock) {
            isStopped = true
            streams.values.forEach { it.abort() }
            streams.clear()
            lock.notifyAll()
        }
        server.close()
    }

    private fun modelMs(): Double = (System.nanoTime() - startedNs) / NS_PER_MS * setup.spec.timeScale

    private fun runLoop() {
        synchronized(lock) {
            while (!isStopped) {
                scheduler.advance(modelMs())
                recordLoadSample()
                sendKeepAliveComments()
                val waitModelMs = scheduler.nextEventMs - modelMs()
                val waitMs = (waitModelMs / setup.spec.timeScale).coerceIn(1.0, MAX_WAIT_MS).toLong()
                if (!isStopped) lock.wait(waitMs)
            }
        }
    }

    private fun sendKeepAliveComments() {
        val now = System.currentTimeMillis()
        streams.values.filter { !faults.isSilent && now - it.lastSentMs >= KEEP_ALIVE_INTERVAL_MS }
            .forEach { it.send(": waiting\n\n") }
    }

    // Crashes the engine and returns false if the prompt of the task contains the crash marker.
    private fun survives(task: EngineTask): Boolean {
        val marker = faults.crashMarker
        if (marker.isEmpty() || marker !in task.prompt) return true
        isStopped = true
        onCrash()
        return false
    }

    private fun handle(exchange: HttpServerExchange) {
        if (isStopped) return exchange.connection.close()
        val method = exchange.requestMethod.toString()
        val path = exchange.requestPath
        when ("$method $path") {
            "POST /v1/generate" -> generate(exchange)

            "POST /v1/prefill" -> prefill(exchange)

            "POST /v1/cancel" -> cancel(exchange)

            "GET /v1/load" -> exchange.sendJson(Json.encodeToString(reportedLoad()))

            "GET /v1/cache-events" -> readCacheEvents(exchange)

            "POST /v1/holds" -> addHold(exchange)

            "GET /v1/holds" -> exchange.sendJson(Json.encodeToString(HoldList(incarnation, holds.map(::holdMessage))))

            "POST /v1/kv/export" -> exportBlocks(exchange)

            "POST /v1/kv/import" -> importBlocks(exchange)

            "POST /v1/orders" -> order(exchange)

            "POST /faults" -> fault(exchange)

            else -> if (method == "DELETE" &&
                path.startsWith(HOLD_PREFIX)
            ) {
                removeHold(exchange)
            } else {
                exchange.refuse("no_route", 404)
            }
        }
    }

    private fun generate(exchange: HttpServerExchange) {
        val message = lenientJson.decodeFromString<GenerateMessage>(exchange.bodyText())
        val id = message.requestId
        startStream(exchange, id) { output ->
            val context = contextHash(message.contextHolds)
            val hold = message.holdId?.let { scheduler.kvCache.hold(it) ?: return@startStream Refusal.UNKNOWN_HOLD }
            val task = EngineTask(
                id,
                message.priority,
                message.prompt,
                message.maxTokens,
                message.resumeTokens.size,
                context,
                hold,
                GenerateOutput(id, output),
            )
            scheduler.submit(task, modelMs()).also { if (it == null) onAdmitted(task) }
        }
    }

    private fun prefill(exchange: HttpServerExchange) {
        val message = lenientJson.decodeFromString<PrefillMessage>(exchange.bodyText())
        val id = message.requestId
        startStream(exchange, id) { output ->
            val hold = scheduler.kvCache.hold(message.holdId) ?: return@startStream Refusal.UNKNOWN_HOLD
            val context = contextHash(message.contextHolds)
            val handle = "${message.holdId}:${extendHash(context, message.segment)}"
            val task = EngineTask(
                id,
                message.priority,
                message.segment,
                0,
                0,
                context,
                hold,
                object : EngineOutput {
                    override fun onToken(index: Int, token: String) = Unit

                    override fun onDone(total: Int) = finish(output, """{"request_id":"$id","handle":"$handle"}""")
                },
            )
            scheduler.submit(task, modelMs())
        }
    }

    private fun onAdmitted(task: EngineTask) {
        dispatches.incrementAndGet()
        if (faults.crossing != Crossing.SWAP) return
        val own = task.output as GenerateOutput
        val other =
            scheduler.tasks.firstNotNullOfOrNull { other -> (other.output as? GenerateOutput)?.takeIf { it !== own } } ?: return
        own.stream = other.stream.also { other.stream = own.stream }
    }

    private fun startStream(exchange: HttpServerExchange, id: String, submit: (StreamOutput) -> Refusal?) {
        val output = StreamOutput(exchange) { synchronized(lock) { cancelStream(id) } }
        val refusal = synchronized(lock) {
            if (isStopped) return exchange.connection.close()
            scheduler.advance(modelMs())
            val result = if (faults.isOutOfMemory) Refusal.KV_FULL else submit(output)
            if (result == null) {
                streams[id] = output
                output.isFrozen = faults.isSilent
            }
            result
        }
        if (refusal != null) return exchange.refuse(refusal.reason, refusal.httpStatus)
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "text/event-stream")
        exchange.dispatch(
            SameThreadExecutor.INSTANCE,
            Runnable {
                output.send(": admitted\n\n")
                output.open()
                synchronized(lock) { lock.notifyAll() }
            },
        )
    }

    private fun finish(output: StreamOutput, data: String) {
        if (faults.isSilent) output.isFrozen = true
        output.finish("data:$data\n\n")
        if (!output.isFrozen) streams.values.remove(output)
    }

    private fun cancelStream(id: String) {
        scheduler.cancel(id)
        streams.remove(id)?.abort()
    }

    private inner class GenerateOutput(private val id: String, var stream: StreamOutput) : EngineOutput {
        override fun onToken(index: Int, token: String) {
            if (faults.isSilent) return
            val sentId = if (faults.crossing == Crossing.ID) "other-request" else id
            val sentIndex = if (faults.crossing == Crossing.INDEX) index + 1 else index
            stream.send("data:{\"request_id\":\"$sentId\",\"index\":$sentIndex,\"token\":\"$token\"}\n\n")
        }

        override fun onDone(total: Int) = finish(stream, "{\"request_id\":\"$id\",\"done\":true,\"tokens\":$total}")
    }

    private fun cancel(exchange: HttpServerExchange) {
        val id = lenientJson.decodeFromString<CancelMessage>(exchange.bodyText()).requestId
        val isKnown = synchronized(lock) {
            val isRunning = scheduler.cancel(id)
            val stream = streams.remove(id)
            stream?.abort()
            isRunning || stream != null
        }
        if (faults.dropsCancelReply) return exchange.connection.close()
        if (isKnown) exchange.sendJson("{}") else exchange.refuse("unknown_request", 404)
    }

    private fun recordLoadSample() {
        val now = System.currentTimeMillis()
        val newest = loadSamples.lastOrNull()
        if (newest != null && now - newest.first < LOAD_SAMPLE_INTERVAL_MS) return
        loadSamples.addLast(now to currentLoad())
        while (loadSamples.size > 1 && loadSamples[1].first < now - setup.loadLagMs) loadSamples.removeFirst()
    }

    private fun currentLoad() = LoadMessage(
        incarnation,
        scheduler.queuedPrefillTokens,
        scheduler.queuedPrefillByPriority(),
        scheduler.prefillTokensPerSecond,
        scheduler.running,
        scheduler.kvCache.usedTokens,
        scheduler.kvCache.capacityTokens,
        isLeaving,
    )

    private fun reportedLoad(): LoadMessage = synchronized(lock) {
        if (setup.loadLagMs == 0L) return currentLoad()
        recordLoadSample()
        val limit = System.currentTimeMillis() - setup.loadLagMs
        (loadSamples.lastOrNull { it.first <= limit } ?: loadSamples.first()).second
    }

    private fun readCacheEvents(exchange: HttpServerExchange) {
        val from = exchange.query("from")?.toLongOrNull() ?: 0
        val events = cacheEvents.read(from, System.currentTimeMillis()).map {
            CacheEventMessage(it.sequence, if (it.change.isStored) "stored" else "removed", it.change.hash)
        }
        exchange.sendJson(Json.encodeToString(CacheEventList(incarnation, events)))
    }

    private fun addHold(exchange: HttpServerExchange) {
        val message = lenientJson.decodeFromString<HoldMessage>(exchange.bodyText())
        val hold = message.run { EngineHold(holdId, requestId, owner, ownerIncarnation, expiresAtMs, tokens) }
        val isAdded = !faults.isOutOfMemory && synchronized(lock) { scheduler.kvCache.addHold(hold) }
        if (isAdded) exchange.sendJson("""{"hold_id":"${hold.id}"}""") else exchange.refuse(Refusal.KV_FULL.reason, 429)
    }

    private fun removeHold(exchange: HttpServerExchange) {
        val id = exchange.requestPath.substring(HOLD_PREFIX.length)
        val isKnown = synchronized(lock) {
            scheduler.tasks.filter { it.hold?.id == id }.forEach { cancelStream(it.id) }
            scheduler.kvCache.removeHold(id)
        }
        if (isKnown) exchange.sendJson("{}") else exchange.refuse("unknown_hold", 404)
    }

    private fun holdMessage(hold: EngineHold) =
        HoldMessage(hold.id, hold.requestId, hold.owner, hold.ownerIncarnation, hold.expiresAtMs, hold.tokens)

    private fun exportBlocks(exchange: HttpServerExchange) {
        val hashes = prefixHashes(lenientJson.decodeFromString<KvExportMessage>(exchange.bodyText()).prompt)
        val cached = synchronized(lock) {
            val hits = hashes.take(scheduler.kvCache.pinPrefix(hashes))
            scheduler.kvCache.unpin(hits)
            hits
        }
        exchange.sendJson(Json.encodeToString(KvBlocksMessage(cached)))
    }

    private fun importBlocks(exchange: HttpServerExchange) {
        val blocks = lenientJson.decodeFromString<KvBlocksMessage>(exchange.bodyText()).blocks
        val stored = synchronized(lock) { scheduler.kvCache.store(blocks) }
        exchange.sendJson("""{"stored":$stored}""")
    }

    private fun order(exchange: HttpServerExchange) {
        val message = lenientJson.decodeFromString<OrderMessage>(exchange.bodyText())
        val isExecuted = orders.execute(ExecutedOrder(message.slot, message.target, message.fencingNumber))
        if (!isExecuted) return exchange.refuse("old_fencing_number", 409)
        val executed = orders.current(message.slot)!!
        exchange.sendJson(Json.encodeToString(OrderAnswer(executed.target, executed.fencingNumber)))
    }

    private fun fault(exchange: HttpServerExchange) {
        val message = lenientJson.decodeFromString<FaultMessage>(exchange.bodyText())
        if (onFault(message)) exchange.sendJson("{}") else exchange.refuse("unknown_fault", 400)
    }

    // A handle is "<hold id>:<hash of the prompt up to the end of the hold's segment>".
    private fun contextHash(handles: List<String>): Int = handles.lastOrNull()?.substringAfterLast(':')?.toInt() ?: 0

    private fun HttpServerExchange.refuse(reason: String, status: Int) = sendJson("""{"reason":"$reason"}""", status)

    private companion object {
        const val WORKER_THREADS = 8
        const val NS_PER_MS = 1_000_000.0
        const val MAX_WAIT_MS = 200.0
        const val KEEP_ALIVE_INTERVAL_MS = 1_000L
        const val LOAD_SAMPLE_INTERVAL_MS = 20L
        const val HOLD_PREFIX = "/v1/holds/"
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
