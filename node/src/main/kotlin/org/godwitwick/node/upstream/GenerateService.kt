package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId

/** Runs model requests on the fleet: admission, placement, dispatch, resumption. */
interface GenerateService {
    /** Starts [request] and returns its stream, or the failure if it was not admitted or could not be dispatched. */
    fun start(request: GenerateRequest): Result<TokenStream, Failure>

    /** Cancels the request [id] of [organisation]; returns false if no such request is in flight. */
    fun cancel(organisation: OrganisationId, id: RequestId): Boolean
}
