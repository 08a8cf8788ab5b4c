package org.godwitwick.standins.platform

import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.query
import org.godwitwick.standins.sendJson
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger

/**
 * Stand-in for the platform's store: keyed topics with one partition each, and one group.
 *
 * @param workers number of calls that are served at the same time, waiting reads included.
 */
class FakePlatformStore(private val workers: Int = WORKERS) : AutoCloseable {
    private class Record(val key: String, val value: ByteArray)

    private val lock = Object()
    private val topics = HashMap<String, MutableList<Record>>()

    // Times of expiry, as values of System.currentTimeMillis.
    private val members = LinkedHashMap<String, Long>()
    private var changes = 0
    private var era = 1
    private var copiedSizes: Map<String, Int> = emptyMap()

    /** Status with which all calls are answered, or null for normal answers. */
    @Volatile
    var refusalStatus: Int? = null

    /** Topic of which reads are refused, or null. */
    @Volatile
    var refusedTopic: String? = null

    /** Whether instances cannot join the group. */
    @Volatile
    var refusesJoins = false

    /** Number of calls that were refused because of [refusedTopic]. */
    val refusedCalls = AtomicInteger()

    /** Number of reads of the newest records of all keys. */
    val newestReads = AtomicInteger()

    /** Called once, between the first and the second page of newest records, which then have one record each. */
    @Volatile
    var betweenPages: (() -> Unit)? = null

    /** Whether reads of changes are answered as if the history had been dropped. */
    @Volatile
    var isHistoryDropped = false

    /** Whether all calls are answered with an endless body. */
    @Volatile
    var isEndless = false

    /** Number of endless answers that have ended, normally because the caller closed the connection. */
    val endedEndlessAnswers = AtomicInteger()
    private val views = ArrayList<FakeServer>()
    private val server = FakeServer(0, workers) { handle(it) { value -> value } }

    val address: String get() = server.address

    /** Appends a record; an empty [value] removes the key. */
    fun put(topic: String, key: String, value: String) = synchronized(lock) {
        topics.getOrPut(topic) { ArrayList() }.add(Record(key, value.toByteArray()))
        lock.notifyAll()
    }

    private val waitingReads = HashMap<String, Int>()

    /** Whether a read of [topic] waits for a record. */
    fun isAwaited(topic: String): Boolean = synchronized(lock) { waitingReads.getOrDefault(topic, 0) > 0 }

    /** Body of the last call that joined a group. */
    @Volatile
    var lastJoin = ""
        private set

    /** Whether the group has a member. */
    val isRegistered: Boolean get() = synchronized(lock) { members.isNotEmpty() }

    /** Adds [member] to the group for good. */
    fun addMember(member: String) = synchronized(lock) { addMember(member, Long.MAX_VALUE) }

    /** Opens a further address of this store, at which each value of the topic [topic] is what [rewrite] makes of it. */
    fun openView(topic: String, rewrite: (String) -> String): String {
        val view = FakeServer(0, workers) { exchange ->
            handle(exchange) { if (exchange.query("topic") == topic) rewrite(it.decodeToString()).toByteArray() else it }
        }
        views += view
        return view.address
    }

    /** Newest value of a topic with a single key, or null if it is empty. */
    fun newest(topic: String): List<Byte>? = synchronized(lock) { topics[topic]?.lastOrNull()?.value?.toList() }

    /** Takes a copy to which [restore] returns. */
    fun copy() = synchronized(lock) { copiedSizes = topics.mapValues { it.value.size } }

    /** Returns to the last [copy]: later records and all members of the group are lost, and offsets are given out again. */
    fun restore() = synchronized(lock) {
        topics.forEach { (name, records) -> records.subList(copiedSizes[name] ?: 0, records.size).clear() }
        members.clear()
        changes = 0
        era++
        lock.notifyAll()
    }

    private fun stateEra(exchange: HttpServerExchange) = exchange.responseHeaders.put(HttpString("Store-Era"), era.toString())

    private fun handle(exchange: HttpServerExchange, rewrite: (ByteArray) -> ByteArray) {
        stateEra(exchange)
        refusalStatus?.let { return exchange.sendJson("{}", it) }
        if (refusedTopic.let { it != null && it == exchange.query("topic") }) {
            refusedCalls.incrementAndGet()
            return exchange.sendJson("{}", 503)
        }
        if (isEndless) return sendEndlessly(exchange)
        when (exchange.requestPath) {
            "/v1/log-newest" -> newest(exchange, rewrite)
            "/v1/log-read" -> read(exchange, rewrite)
            "/v1/log-append" -> append(exchange)
            "/v1/log-join" -> if (refusesJoins) exchange.sendJson("{}", 503) else join(exchange)
            "/v1/log-owners" -> owners(exchange)
            else -> exchange.sendJson("{}", 404)
        }
    }

    private fun sendEndlessly(exchange: HttpServerExchange) = try {
        exchange.outputStream.use { out -> while (isEndless) out.write(ByteArray(ENDLESS_CHUNK_BYTES) { 'x'.code.toByte() }) }
    } finally {
        endedEndlessAnswers.incrementAndGet()
    }

    private fun newest(exchange: HttpServerExchange, rewrite: (ByteArray) -> ByteArray) {
        newestReads.incrementAndGet()
        if (betweenPages != null && exchange.query("after") != null) {
            betweenPages?.invoke()
            betweenPages = null
            synchronized(lock) { stateEra(exchange) }
        }
        val (records, end) = synchronized(lock) { recordsOf(exchange).toList().let { it to it.size } }
        val items = records.withIndex().associate { (offset, record) -> record.key to (offset to record) }.values
            .filter { it.second.value.isNotEmpty() && it.second.key > exchange.query("after").orEmpty() }
            .sortedBy { it.second.key }
            .take(if (betweenPages != null) 1 else Int.MAX_VALUE)
            .joinToString(",") { (offset, record) ->
                """{"key":"${record.key}","value":"${Base64.getEncoder().encodeToString(
                    rewrite(record.value),
                )}","offset":$offset}"""
            }
        exchange.sendJson("""{"items":[$items],"has-more":${betweenPages != null},"end-offset":$end}""")
    }

    private fun read(exchange: HttpServerExchange, rewrite: (ByteArray) -> ByteArray) {
        if (isHistoryDropped) return exchange.sendJson("""{"first-offset":0}""", 410)
        val from = exchange.query("from")?.toInt() ?: 0
        val untilMs = System.currentTimeMillis() + (exchange.query("wait-ms")?.toLong() ?: 0)
        val records = synchronized(lock) {
            while (recordsOf(exchange).size <= from) {
                val remainingMs = untilMs - System.currentTimeMillis()
                if (remainingMs <= 0) break
                val topic = exchange.query("topic").orEmpty()
                waitingReads.merge(topic, 1, Int::plus)
                lock.wait(remainingMs)
                waitingReads.merge(topic, -1, Int::plus)
            }
            stateEra(exchange)
            recordsOf(exchange).let { if (it.size < from) null else it.drop(from) }
        } ?: return exchange.sendJson("""{"first-offset":0}""", 410)
        // A read that was waiting when the fault began is affected as well.
        if (isEndless) return sendEndlessly(exchange)
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).apply {
            writeLong((from + records.size).toLong())
            writeLong(0)
            records.forEach { record ->
                val value = rewrite(record.value)
                writeInt(1 + record.key.length + value.size)
                writeByte(record.key.length)
                writeBytes(record.key)
                write(value)
            }
        }
        exchange.outputStream.use { it.write(bytes.toByteArray()) }
    }

    private fun append(exchange: HttpServerExchange) {
        val body = exchange.inputStream.readBytes()
        val keyLength = body[LENGTH_BYTES].toInt()
        val key = body.decodeToString(LENGTH_BYTES + 1, LENGTH_BYTES + 1 + keyLength)
        val value = body.copyOfRange(LENGTH_BYTES + 1 + keyLength, body.size)
        val isAccepted = synchronized(lock) {
            val records = recordsOf(exchange)
            val at = exchange.query("at")?.toInt()
            (at == null || at == records.size).also { if (it) records.add(Record(key, value)) }
        }
        exchange.sendJson("""{"offset":0,"end-offset":1}""", if (isAccepted) 200 else 412)
    }

    private fun join(exchange: HttpServerExchange) {
        lastJoin = exchange.inputStream.readBytes().decodeToString()
        val member = MEMBER.find(lastJoin)?.groupValues?.get(1).orEmpty()
        val ttlMs = TTL_MS.find(lastJoin)?.groupValues?.get(1)?.toLong() ?: 0
        val generation = synchronized(lock) {
            expireMembers()
            addMember(member, System.currentTimeMillis() + ttlMs)
            changes
        }
        exchange.sendJson("""{"generation":$generation,"ttl-ms":$ttlMs,"parts":[]}""")
    }

    private fun owners(exchange: HttpServerExchange) {
        val current = synchronized(lock) {
            expireMembers()
            members.keys.toList()
        }
        val rows = current.mapIndexed { part, member -> """["t",$part,"$member",0]""" }
        exchange.sendJson("""{"parts":[${rows.joinToString(",")}]}""")
    }

    private fun addMember(member: String, untilMs: Long) {
        if (members.put(member, untilMs) == null) changes++
    }

    private fun expireMembers() {
        if (members.values.removeIf { it < System.currentTimeMillis() }) changes++
    }

    private fun recordsOf(exchange: HttpServerExchange) = topics.getOrPut(exchange.query("topic").orEmpty()) { ArrayList() }

    override fun close() {
        views.forEach { it.close() }
        server.close()
    }

    private companion object {
        const val WORKERS = 16
        const val ENDLESS_CHUNK_BYTES = 8_192
        const val LENGTH_BYTES = 4
        val MEMBER = Regex(""""member":"([^"]*)"""")
        val TTL_MS = Regex(""""ttl-ms":(\d+)""")
    }
}
