package org.godwitwick.core.forward

/** A part of a prompt's memory on [upstream]; zero [reservedTokens] means that the upstream only reads. */
data class Helper(val upstream: UpstreamEntry, val reservedTokens: Long)

/** Where a request goes: its upstream and the [helpers] that read parts of its prompt. */
data class Placement(val upstream: UpstreamEntry, val helpers: List<Helper>)
