package org.godwitwick.node.platform

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.ListedInstance

/** The platform's list of live and leaving instances, which may lag behind the actual state. */
interface InstanceList {
    /** Reads the complete list; the error is a one-line description of the cause. */
    fun read(): Result<List<ListedInstance>, String>
}
