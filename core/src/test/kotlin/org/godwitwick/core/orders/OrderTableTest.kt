package org.godwitwick.core.orders

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against readers of the log stream that disagree about the order in force (section 5.9). */
class OrderTableTest {
    private val slot = OrderSlot(InstanceId("e1"), OrderKind.LOAD_MODEL, "menu")
    private val table = OrderTable()

    @Test
    fun `the first record wins and a later one takes effect only if it replaces the order in force`() {
        table.apply(0, OrderRecord("a", slot, "v1"))
        table.apply(1, OrderRecord("b", slot, "v2"))
        expectThat(table.activeOrder(slot)?.record?.id).isEqualTo("a")
        table.apply(2, OrderRecord("c", slot, "v3", replaces = 0))
        table.apply(3, OrderRecord("d", slot, "v4", replaces = 0))
        expectThat(table.activeOrder(slot)).isEqualTo(ActiveOrder(2, OrderRecord("c", slot, "v3", replaces = 0)))
    }

    @Test
    fun `repeated appends and unreadable records do not change the order in force`() {
        table.apply(0, OrderRecord("a", slot, "v1"))
        table.apply(1, OrderRecord("a", slot, "v1"))
        table.apply(2, null)
        table.apply(0, OrderRecord("x", slot, "v0"))
        expectThat(table.activeOrder(slot)?.fencingNumber).isEqualTo(0)
        expectThat(table.nextOffset).isEqualTo(3)
    }

    @Test
    fun `orders for different slots are independent`() {
        val other = slot.copy(subject = "directory")
        table.apply(0, OrderRecord("a", slot, "v1"))
        table.apply(1, OrderRecord("b", other, "v1"))
        expectThat(table.activeOrdersOn(slot.engine).map { it.record.id }).isEqualTo(listOf("a", "b"))
    }
}
