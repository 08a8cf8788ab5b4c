package org.godwitwick.standins.engine

/** How an answer is crossed with another. */
enum class Crossing {
    /** Events carry another request's id. */
    ID,

    /** Events carry the index after the right one. */
    INDEX,

    /** Two running requests get each other's events whole. */
    SWAP,
}

/** Fault switches that stay on until they are changed. */
class EngineFaults {
    /** A prompt that contains this text kills the engine at the end of its prefill; empty for none. */
    @Volatile
    var crashMarker: String = ""

    /** Streams deliver nothing, present and new ones. */
    @Volatile
    var isSilent = false

    /** Every request and hold is refused as if memory were full. */
    @Volatile
    var isOutOfMemory = false

    /** A cancel takes effect, but its connection is closed without an answer. */
    @Volatile
    var dropsCancelReply = false

    /** How the events of new streams are crossed, or null. */
    @Volatile
    var crossing: Crossing? = null
}
