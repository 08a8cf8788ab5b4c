package org.godwitwick.node.platform

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.godwitwick.core.model.ListedInstance
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Polls the instance list every [periodMs] and keeps the last successful answer, including during an outage. */
class InstanceListPoller(private val list: InstanceList, private val periodMs: Long) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "list-poller").apply { isDaemon = true } }

    /** The list from the last successful read; empty before the first one. */
    @Volatile
    var instances: List<ListedInstance> = emptyList()
        private set

    /** Reads the list on the calling thread, then starts polling it in the background. */
    fun start() {
        poll()
        executor.scheduleWithFixedDelay(::poll, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    private fun poll() {
        list.read()
            .onOk { instances = it }
            .onErr { log.warn("list: {}", it) }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        val log = LoggerFactory.getLogger(InstanceListPoller::class.java)
    }
}
