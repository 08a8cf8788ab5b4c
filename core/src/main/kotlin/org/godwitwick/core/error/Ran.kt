package org.godwitwick.core.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether the upstream executed the call that an answer is about. */
@Serializable
enum class Ran {
    /** The call did not run and can never run later. */
    @SerialName("no")
    NO,

    /** The call was dispatched and its outcome is not known. */
    @SerialName("unknown")
    UNKNOWN,

    /** The call ran. */
    @SerialName("yes")
    YES,
}
