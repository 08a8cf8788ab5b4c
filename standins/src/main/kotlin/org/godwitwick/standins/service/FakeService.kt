package org.godwitwick.standins.service

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import kotlinx.serialization.json.Json
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.bodyText
import org.godwitwick.standins.sendJson
import java.util.concurrent.CountDownLatch

/**
 * Stand-in for a plain service. It executes every call that reaches it, including repeated ones, and counts executions by
 * `Idempotency-Key`. `POST /faults` (JSON of [ServiceFaults]) or [setFaults] sets its faults.
 *
 * @property checksFencing whether a call is refused with status 412 if its fencing number is lower than the highest for its key.
 */
class FakeService(port: Int, private val checksFencing: Boolean = false) : AutoCloseable {
    private enum class Mode { NORMAL, LOSE, CRASH, BREAK, UNAVAILABLE_AFTER, UNAVAILABLE_BEFORE, CROSS, HANG }

    private val lock = Any()
    private val executions = HashMap<String, Int>()
    private val highestFencingNumbers = HashMap<String, Long>()
    private val requests = ArrayList<Map<String, String>>()
    private var faults = ServiceFaults()
    private val hangRelease = CountDownLatch(1)
    private var server: FakeServer? = FakeServer(port, WORKER_THREADS, ::serve)
    private val boundPort = checkNotNull(server).port

    /** `ip:port` of the stand-in. */
    val address: String = "127.0.0.1:$boundPort"

    /** Called with the key of each call after it arrives and before it is executed. */
    @Volatile
    var onArrival: (String) -> Unit = {}

    /** Number of executed calls, over all keys. */
    val totalExecutions: Int get() = synchronized(lock) { executions.values.sum() }

    /** Headers of each call by lower-case name, in order of arrival. */
    val arrivals: List<Map<String, String>> get() = synchronized(lock) { requests.toList() }

    /** Number of executed calls with [key]. */
    fun executionsOf(key: String): Int = synchronized(lock) { executions[key] ?: 0 }

    /** Replaces all faults by [newFaults]. */
    fun setFaults(newFaults: ServiceFaults) = synchronized(lock) { faults = newFaults }

    /** Lets all hanging calls proceed, including later ones. */
    fun releaseHanging() = hangRelease.countDown()

    /** Stops the server, so that connections are refused. */
    fun refuseConnections() {
        server?.close()
        server = null
    }

    /** Listens again on the same port. */
    fun acceptConnections() {
        server = server ?: FakeServer(boundPort, WORKER_THREADS, ::serve)
    }

    private fun serve(exchange: HttpServerExchange) {
        if (exchange.requestPath == "/faults") {
            setFaults(Json.decodeFromString(exchange.bodyText()))
            return exchange.sendJson("{}")
        }
        exchange.bodyText()
        val key = exchange.header(KEY_HEADER) ?: "none"
        val (mode, currentFaults) = synchronized(lock) {
            requests += exchange.requestHeaders.associate { it.headerName.toString().lowercase() to it.first }
            consumeFault() to faults
        }
        onArrival(key)
        if (currentFaults.slowMs > 0) Thread.sleep(currentFaults.slowMs)
        if (mode == Mode.CRASH) return exchange.connection.close()
        if (mode == Mode.UNAVAILABLE_BEFORE) return exchange.sendJson("{}", UNAVAILABLE)
        if (mode == Mode.HANG) hangRelease.await()
        val count = run(key, exchange.header(FENCING_HEADER)?.toLongOrNull())
            ?: return exchange.sendJson("{\"error\":\"old fencing number\"}", PRECONDITION_FAILED)
        answer(exchange, mode, "{\"executions\":$count}".padEnd(currentFaults.answerBytes))
    }

    private fun answer(exchange: HttpServerExchange, mode: Mode, body: String) {
        val id = exchange.header(ID_HEADER)
        if (id != null) exchange.responseHeaders.put(HttpString(ID_HEADER), if (mode == Mode.CROSS) "another-$id" else id)
        when (mode) {
            Mode.LOSE -> exchange.connection.close()

            Mode.BREAK -> {
                exchange.responseContentLength = body.length + 1L
                exchange.outputStream.write(body.toByteArray())
                exchange.outputStream.flush()
                exchange.connection.close()
            }

            Mode.UNAVAILABLE_AFTER -> {
                exchange.responseHeaders.put(Headers.RETRY_AFTER, "0")
                exchange.sendJson(body, UNAVAILABLE)
            }

            else -> exchange.sendJson(body)
        }
    }

    private fun consumeFault(): Mode = with(faults) {
        when {
            loseAnswers > 0 -> Mode.LOSE.also { faults = copy(loseAnswers = loseAnswers - 1) }
            crashBefore > 0 -> Mode.CRASH.also { faults = copy(crashBefore = crashBefore - 1) }
            breakAnswers > 0 -> Mode.BREAK.also { faults = copy(breakAnswers = breakAnswers - 1) }
            unavailableAfter > 0 -> Mode.UNAVAILABLE_AFTER.also { faults = copy(unavailableAfter = unavailableAfter - 1) }
            unavailableBefore > 0 -> Mode.UNAVAILABLE_BEFORE.also { faults = copy(unavailableBefore = unavailableBefore - 1) }
            crossAnswers > 0 -> Mode.CROSS.also { faults = copy(crossAnswers = crossAnswers - 1) }
            hang > 0 -> Mode.HANG.also { faults = copy(hang = hang - 1) }
            else -> Mode.NORMAL
        }
    }

    private fun run(key: String, fencingNumber: Long?): Int? = synchronized(lock) {
        if (checksFencing && fencingNumber != null) {
            if (fencingNumber < (highestFencingNumbers[key] ?: Long.MIN_VALUE)) return null
            highestFencingNumbers[key] = fencingNumber
        }
        executions.merge(key, 1, Int::plus)
    }

    private fun HttpServerExchange.header(name: String): String? = requestHeaders.getFirst(name)

    override fun close() {
        releaseHanging()
        server?.close()
    }

    private companion object {
        const val WORKER_THREADS = 128
        const val KEY_HEADER = "Idempotency-Key"
        const val FENCING_HEADER = "Fencing-Number"
        const val ID_HEADER = "Request-Id"
        const val PRECONDITION_FAILED = 412
        const val UNAVAILABLE = 503
    }
}
