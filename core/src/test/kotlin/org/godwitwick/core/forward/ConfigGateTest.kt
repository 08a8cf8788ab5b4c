package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ConfigGateTest {
    // Guards against a late or repeated record that takes a newer configuration back.
    @Test
    fun `an older version and the same version again change nothing`() {
        val gate = ConfigGate()
        expectThat(gate.accept(config(7, route()))).isTrue()
        expectThat(gate.accept(config(4))).isFalse()
        expectThat(gate.accept(config(7))).isFalse()
        expectThat(gate.table?.config?.routes?.size).isEqualTo(1)
    }
}
