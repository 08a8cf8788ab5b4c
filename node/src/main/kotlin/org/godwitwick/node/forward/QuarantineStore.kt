package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import org.godwitwick.core.health.TraitRow

/** Keeps what quarantines rest on while no instance runs. Implementations do not retry. Used by one thread. */
interface QuarantineStore {
    /** Reads the rows that were stored, with their ages at [wallMs], the wall time. */
    fun read(wallMs: Long): Result<List<TraitRow>, FeedFailure>

    /** Stores [rows] as of [wallMs], the wall time, in place of earlier ones of the same traits. */
    fun write(rows: List<TraitRow>, wallMs: Long): Result<Unit, FeedFailure>
}
