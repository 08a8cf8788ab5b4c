package org.godwitwick.core.model

import kotlinx.serialization.Serializable

/** Identifies one instance of godwitwick or of an upstream, as the platform's instance list names it. */
@JvmInline
@Serializable
value class InstanceId(val value: String) {
    override fun toString(): String = value
}

/** Identifies an organisation. Keys, limits and histograms are kept for each. */
@JvmInline
@Serializable
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one admitted request through every hop, log line and engine message. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
