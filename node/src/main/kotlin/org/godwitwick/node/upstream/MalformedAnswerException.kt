package org.godwitwick.node.upstream

import java.io.IOException

/** Thrown for bytes that are not an answer; the connection itself is sound. */
class MalformedAnswerException(message: String) : IOException(message)
