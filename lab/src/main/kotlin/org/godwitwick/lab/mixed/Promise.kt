package org.godwitwick.lab.mixed

/** A promise that callers and upstreams rely on, as it is named in tables. */
enum class Promise(val column: String) {
    RUNS("runs"),
    ONE_ANSWER("answer"),
    NOT_RUN("not run"),
    REVOKED("revoked"),
    LEAVING("leaving"),
    LIMIT("limit"),
    CRASHING("crashing"),
    RETRIES("retries"),
    ORGANISATION("organisation"),
    LOST("lost"),
    DENIED("denied"),
}

/** A promise that was not kept, with what was seen. */
data class Breach(val promise: Promise, val detail: String)

/** Bounds that the promises state. */
data class PromiseBounds(val revocationMs: Long, val leavingMs: Long, val retryReserve: Int, val contactWindowMs: Long = 3_000)
