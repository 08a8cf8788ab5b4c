package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.orders.ActiveOrder
import org.godwitwick.core.orders.OrderRecord
import org.godwitwick.core.orders.OrderSlot
import org.godwitwick.core.orders.OrderTable
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.PlatformLog

/** The outcome of placing an order. */
sealed interface OrderOutcome {
    /** The order is in force; [isIssued] is true if the engine has already accepted it. */
    data class Won(val order: ActiveOrder, val isIssued: Boolean) : OrderOutcome

    /** Another order, [winner], preceded it in the log and is in force. */
    data class Lost(val winner: ActiveOrder) : OrderOutcome
}

/**
 * Appends engine orders to the log stream `orders` and issues those in force to the engines. Calls block; the class is not
 * thread-safe.
 *
 * @property addressOf returns the address of an engine, or null if the engine is not listed.
 */
class OrderIssuer(
    private val log: PlatformLog,
    private val engines: EngineClient,
    private val addressOf: (InstanceId) -> String?,
) {
    private val fold = OrderTable()

    /** Reads the log to its end and returns the order in force in [slot], or null if there is none. */
    fun standing(slot: OrderSlot): Result<ActiveOrder?, Failure> {
        readToEnd()?.let { return Err(it) }
        return Ok(fold.activeOrder(slot))
    }

    /**
     * Appends [record] to the log and, if it comes into force, issues it to the engine.
     *
     * Fails with `log_unavailable` if the log cannot be written or read; the same record may then be placed again. Fails with
     * `conflict` if the record follows an order that is not in force.
     */
    fun place(record: OrderRecord): Result<OrderOutcome, Failure> {
        append(record)?.let { return Err(it) }
        readToEnd()?.let { return Err(it) }
        val standing = fold.activeOrder(record.slot)
            ?: return Err(Failure(ErrorKind.CONFLICT, "the preceding order is not in force in slot ${record.slot.name}"))
        if (standing.record.id != record.id) return Ok(OrderOutcome.Lost(standing))
        return Ok(OrderOutcome.Won(standing, issue(standing)))
    }

    /**
     * Reads the log and issues the orders in force at [engine] again; returns whether the engine accepted all of them. This is
     * needed because an engine that ignores fencing numbers may have accepted an outdated order, and an engine that restarted has
     * no orders.
     */
    fun reissue(engine: InstanceId): Result<Boolean, Failure> {
        readToEnd()?.let { return Err(it) }
        return Ok(fold.activeOrdersOn(engine).map(::issue).all { it })
    }

    // If the answer is lost, the same record is appended again; the fold ignores the duplicate.
    private fun append(record: OrderRecord): Failure? {
        val data = Json.encodeToString(record).toByteArray()
        repeat(MAX_APPENDS) {
            when (val failure = log.append(STREAM, data, LOG_TIMEOUT_MS).component2()) {
                null -> return null
                is LogFailure.NotApplied -> return unavailable(failure, Executed.NO)
                is LogFailure.Unknown -> Unit
            }
        }
        return unavailable(LogFailure.Unknown("no answer to $MAX_APPENDS appends"), Executed.UNKNOWN)
    }

    private fun readToEnd(): Failure? {
        while (true) {
            val read = log.read(STREAM, fold.nextOffset, MAX_RECORDS, 0)
            val page = read.component1() ?: return unavailable(read.component2()!!, Executed.UNKNOWN)
            fold.skipTo(page.earliestOffset)
            page.records.forEach { fold.apply(it.offset, decode(it.data)) }
            if (fold.nextOffset >= page.endOffset || page.records.isEmpty()) return null
        }
    }

    private fun decode(data: ByteArray): OrderRecord? = try {
        lenientJson.decodeFromString<OrderRecord>(data.decodeToString())
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun issue(order: ActiveOrder): Boolean {
        val address = addressOf(order.record.slot.engine) ?: return false
        val message = EngineOrderMessage(order.record.slot.name, order.record.target, order.fencingNumber)
        return engines.order(address, message, ORDER_TIMEOUT_MS).isOk
    }

    private fun unavailable(failure: LogFailure, ran: Executed) =
        Failure(ErrorKind.LOG_UNAVAILABLE, "the order log is unavailable: ${failure.message}", ran)

    private companion object {
        const val STREAM = "orders"
        const val LOG_TIMEOUT_MS = 2_000L
        const val ORDER_TIMEOUT_MS = 5_000L
        const val MAX_APPENDS = 3
        const val MAX_RECORDS = 500
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
