package org.godwitwick.node.platform

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.godwitwick.core.model.ListedInstance
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Polls the instance list and keeps its last answer. An outage of the list leaves the last answer in place. */
class ListPoller(private val list: InstanceList, private val periodMs: Long) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "list-poller").apply { isDaemon = true } }

    /** The last list that was read; empty until the first answer. */
    @Volatile
    var instances: List<ListedInstance> = emptyList()
        private set

    /** Reads the list once and then every period. */
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
        val log = LoggerFactory.getLogger(ListPoller::class.java)
    }
}
