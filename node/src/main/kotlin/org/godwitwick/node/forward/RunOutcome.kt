package org.godwitwick.node.forward

import okio.Buffer
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.UpstreamEntry

/** Outcome of a request: a stream or a single answer to forward, or the failure to report to the caller. */
internal sealed interface RunOutcome {
    class Stream(val stream: UpstreamStream) : RunOutcome

    /** An answer that is not a stream: [body] holds all of it, unless [largeBody] is set. */
    class Single(
        val head: AnswerHead,
        val body: Buffer,
        val largeBody: LargeBody?,
        val upstream: UpstreamEntry,
        val receipt: String,
    ) : RunOutcome {
        val description: String get() = "answered ${head.status}: $receipt"
    }

    class Failed(val failure: Failure) : RunOutcome
}
