package org.godwitwick.core.config

import kotlinx.serialization.Serializable

/** A validation error in a publication: the invalid [field], its [value] and the [expected] values. */
@Serializable
data class ConfigFault(val field: String, val value: String, val expected: String) {
    override fun toString(): String = "$field: $value is not valid, expected $expected"
}
