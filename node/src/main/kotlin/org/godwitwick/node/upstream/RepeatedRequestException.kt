package org.godwitwick.node.upstream

import java.io.IOException

/**
 * Thrown before anything is written, if a request with the same id was sent on the connection before: a late answer to the earlier one
 * could not be told from the answer to this one. The request can be sent on a new connection.
 */
class RepeatedRequestException : IOException("a request with the same id was sent on the connection before")
