package org.godwitwick.core.model

import kotlinx.serialization.Serializable

/** Identifies an instance of godwitwick or of an upstream, under its id on the platform's instance list. */
@JvmInline
@Serializable
value class InstanceId(val value: String) {
    override fun toString(): String = value
}

/** Identifies an organisation. Keys, limits and histograms are kept per organisation. */
@JvmInline
@Serializable
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}

/** Identifies an admitted request on every hop, in log lines and in engine messages. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
