package org.godwitwick.node.platform

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.ListedInstance

/** The platform's lagging list of live and leaving instances. */
interface InstanceList {
    /** Reads the whole list; the error is one sentence about the cause. */
    fun read(): Result<List<ListedInstance>, String>
}
