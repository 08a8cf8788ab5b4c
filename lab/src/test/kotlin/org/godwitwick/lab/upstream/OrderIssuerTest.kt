package org.godwitwick.lab.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.orders.OrderKind
import org.godwitwick.core.orders.OrderRecord
import org.godwitwick.core.orders.OrderSlot
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.LogRecord
import org.godwitwick.node.platform.PlatformLog
import org.godwitwick.node.upstream.EngineClient
import org.godwitwick.node.upstream.EngineOrderMessage
import org.godwitwick.node.upstream.OrderIssuer
import org.godwitwick.node.upstream.OrderOutcome
import org.godwitwick.standins.engine.FakeEngine
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture

/** Guards against conflicting orders of several instances to one engine, and against old orders that arrive late. */
class OrderIssuerTest {
    private val log = MemoryLog()
    private val slot = OrderSlot(InstanceId("engine-0"), OrderKind.LOAD_MODEL, "menu")

    @Test
    fun `one of several concurrent orders for the same slot is executed`() = withEngine(checksFencing = false) { engine ->
        val outcomes = List(8) { number ->
            CompletableFuture.supplyAsync {
                issuer(engine).place(OrderRecord("order-$number", slot, "v$number")).getOrElse { error("$it") }
            }
        }.map { it.get() }
        expectThat(outcomes.filterIsInstance<OrderOutcome.Won>()).hasSize(1)
        expectThat(engine.executedOrders).hasSize(1)
    }

    @Test
    fun `an order whose append got no response is executed once`() = withEngine(checksFencing = true) { engine ->
        log.losesNextAnswer = true
        expectThat(issuer(engine).place(OrderRecord("a", slot, "v1")).component1()).isA<OrderOutcome.Won>()
            .get { order.fencingNumber }.isEqualTo(0)
        expectThat(engine.executedOrders).hasSize(1)
    }

    @Test
    fun `an engine that checks fencing numbers refuses an old order`() = withEngine(checksFencing = true) { engine ->
        val issuer = twoOrders(engine)
        expectThat(lateOrder(engine).isOk).isFalse()
        expectThat(issuer.reissue(slot.engine).component1()).isEqualTo(true)
        expectThat(engine.executedOrders.map { it.target }).isEqualTo(listOf("v1", "v2"))
    }

    @Test
    fun `a reissue replaces an old order if the engine ignores fencing numbers`() = withEngine(checksFencing = false) { engine ->
        val issuer = twoOrders(engine)
        expectThat(lateOrder(engine).isOk).isTrue()
        issuer.reissue(slot.engine)
        expectThat(engine.executedOrders.last().target).isEqualTo("v2")
    }

    @Test
    fun `no order is issued while the log is down`() = withEngine(checksFencing = true) { engine ->
        log.isDown = true
        expectThat(issuer(engine).place(OrderRecord("a", slot, "v1")).component2()?.kind).isEqualTo(ErrorKind.LOG_UNAVAILABLE)
        expectThat(engine.executedOrders).hasSize(0)
    }

    private fun twoOrders(engine: FakeEngine): OrderIssuer {
        val issuer = issuer(engine)
        issuer.place(OrderRecord("a", slot, "v1"))
        issuer.place(OrderRecord("b", slot, "v2", replaces = 0))
        return issuer
    }

    // Sends the first order as an instance does that was paused after winning the slot and before calling the engine.
    private fun lateOrder(engine: FakeEngine) =
        EngineClient(client(1_000)).order(engine.address, EngineOrderMessage(slot.name, "v1", 0), 1_000)

    private fun issuer(engine: FakeEngine) = OrderIssuer(log, EngineClient(client(1_000))) { engine.address }

    private fun withEngine(checksFencing: Boolean, action: (FakeEngine) -> Unit) =
        FakeEngine(0, checksFencing = checksFencing).use(action)

    private class MemoryLog : PlatformLog {
        private val records = ArrayList<LogRecord>()
        var losesNextAnswer = false
        var isDown = false

        @Synchronized
        override fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure> {
            if (isDown) return Err(LogFailure.NotApplied("down"))
            records += LogRecord(records.size.toLong(), 0, data)
            if (!losesNextAnswer) return Ok(records.size - 1L)
            losesNextAnswer = false
            return Err(LogFailure.Unknown("lost"))
        }

        @Synchronized
        override fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure> {
            if (isDown) return Err(LogFailure.NotApplied("down"))
            return Ok(LogPage(0, records.size.toLong(), records.drop(fromOffset.toInt()).take(maxRecords)))
        }
    }
}
