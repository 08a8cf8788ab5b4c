package org.godwitwick.node.metrics

/** The closed list of reasons for which a received message is dropped. */
enum class DropReason(val label: String) {
    /** An engine message that carries another request's id. */
    WRONG_REQUEST_ID("wrong_request_id"),

    /** An engine token whose index is not the next one. */
    WRONG_INDEX("wrong_index"),

    /** A message that can't be decoded. */
    MALFORMED("malformed"),

    /** A peer frame whose authentication code is wrong. */
    UNAUTHENTIC("unauthentic"),

    /** A peer frame that was received before or is too old. */
    REPLAYED("replayed"),

    /** A message for which the queue had no place. */
    QUEUE_FULL("queue_full"),
}
