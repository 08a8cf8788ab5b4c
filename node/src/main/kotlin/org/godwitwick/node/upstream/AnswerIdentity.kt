package org.godwitwick.node.upstream

/**
 * How answers name the request of a call: by [requestId] in the header [header]. Attached to a call as a tag; without it, answers are
 * not told apart by the requests that they name.
 */
class AnswerIdentity(val header: String, val requestId: String)
