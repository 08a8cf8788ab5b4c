package org.godwitwick.node.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onErr
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.control.AdmissionGate
import org.godwitwick.node.control.Ticket
import org.godwitwick.node.upstream.GenerateService
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream

/** Admits each request before [inner] runs it, and closes its admission ticket when its stream is closed. */
class AdmittedGenerateService(
    private val gate: AdmissionGate,
    private val inner: GenerateService,
    private val nowMs: () -> Long,
) : GenerateService {
    override fun start(request: GenerateRequest): Result<TokenStream, Failure> {
        val ticket = gate.admit(request, nowMs()).getOrElse { return Err(it) }
        return startAdmitted(request, ticket)
    }

    override fun cancel(organisation: OrganisationId, id: RequestId): Boolean = inner.cancel(organisation, id)

    private fun startAdmitted(request: GenerateRequest, ticket: Ticket): Result<TokenStream, Failure> {
        var isStarted = false
        try {
            return inner.start(request)
                .map<TokenStream, Failure, TokenStream> { TicketedStream(it, ticket) }
                .onErr { ticket.close() }
                .also { isStarted = true }
        } finally {
            if (!isStarted) ticket.close()
        }
    }

    private inner class TicketedStream(private val stream: TokenStream, private val ticket: Ticket) : TokenStream {
        private var hasToken = false

        override fun next(): TokenEvent {
            val event = stream.next()
            if (event is TokenEvent.Token && !hasToken) {
                hasToken = true
                ticket.onFirstToken(nowMs())
            }
            return event
        }

        override fun close() {
            ticket.use { stream.close() }
        }
    }
}
