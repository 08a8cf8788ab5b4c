package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.RequestId
import org.http4k.core.Filter
import java.util.UUID

/** Refuses requests while [isUnconfirmed]; cancelling passes, because it adds no work. */
fun refuseUnconfirmed(isUnconfirmed: () -> Boolean): Filter = Filter { next ->
    { request ->
        if (!isUnconfirmed() || request.uri.path.endsWith("/cancel")) {
            next(request)
        } else {
            val failure = Failure(ErrorKind.CONFIG_UNCONFIRMED, "this instance can't confirm its configuration")
            failureResponse(failure, RequestId(UUID.randomUUID().toString()))
        }
    }
}
