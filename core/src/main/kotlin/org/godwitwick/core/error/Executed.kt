package org.godwitwick.core.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether the upstream executed a call. */
@Serializable
enum class Executed {
    /** The call was not executed and will never be. */
    @SerialName("no")
    NO,

    /** The call was dispatched and its outcome is unknown. */
    @SerialName("unknown")
    UNKNOWN,

    /** The call was executed. */
    @SerialName("yes")
    YES,
}
