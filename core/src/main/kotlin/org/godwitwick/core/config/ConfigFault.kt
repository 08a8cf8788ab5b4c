package org.godwitwick.core.config

import kotlinx.serialization.Serializable

/** One fault of a publication: the [field] at fault, the [value] found and what was [expected]. */
@Serializable
data class ConfigFault(val field: String, val value: String, val expected: String) {
    override fun toString(): String = "$field: $value is not valid, expected $expected"
}
