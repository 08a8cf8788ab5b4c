package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ConfigGateTest {
    // Guards against a late or repeated record that reverts a newer configuration.
    @Test
    fun `an older or equal version is rejected and leaves the table unchanged`() {
        val gate = ConfigGate()
        expectThat(gate.accept(config(7, route()))).isTrue()
        expectThat(gate.accept(config(4))).isFalse()
        expectThat(gate.accept(config(7))).isFalse()
        expectThat(gate.table?.config?.routes?.size).isEqualTo(1)
    }
}
