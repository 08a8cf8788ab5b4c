package org.godwitwick.standins.engine

/** How an engine mixes up the answers of different requests. */
enum class Crossing {
    /** Events carry another request's id. */
    ID,

    /** Events carry the index after the correct one. */
    INDEX,

    /** Two running requests receive each other's unmodified events. */
    SWAP,
}

/** Fault switches of an engine. Each stays in force until it is changed, also across restarts. */
class EngineFaults {
    /** A prompt that contains this text crashes the engine at the end of its prefill; no prompt does if it is empty. */
    @Volatile
    var crashMarker: String = ""

    /** All streams, open and new, deliver nothing. */
    @Volatile
    var isSilent = false

    /** Every request and hold is refused as if the KV cache were full. */
    @Volatile
    var isOutOfMemory = false

    /** A cancellation takes effect, but its connection is closed without a response. */
    @Volatile
    var dropsCancelReply = false

    /** How answers are mixed up, or null if they are not. [Crossing.SWAP] takes effect when a request is admitted. */
    @Volatile
    var crossing: Crossing? = null
}
