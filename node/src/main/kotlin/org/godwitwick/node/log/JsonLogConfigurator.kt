package org.godwitwick.node.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * Configures Logback to write one JSON object per line to standard output. Logging never blocks: lines are dropped when the
 * output is not read.
 *
 * Logback finds this class as a service. Reading a configuration file instead would take a tenth of the start-up time of an
 * instance.
 */
class JsonLogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val console = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            encoder = JsonEncoder().apply {
                this.context = context
                setWithSequenceNumber(false)
                setWithNanoseconds(false)
                setWithContext(false)
                setWithMessage(false)
                setWithArguments(false)
                setWithFormattedMessage(true)
                start()
            }
            start()
        }
        val asynchronous = AsyncAppender().apply {
            this.context = context
            queueSize = QUEUE_LINES
            isNeverBlock = true
            addAppender(console)
            start()
        }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.INFO
            addAppender(asynchronous)
        }
        NOISY_LIBRARIES.forEach { context.getLogger(it).level = Level.WARN }
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private companion object {
        /** Queue length in lines: several seconds of log output at the highest load of one instance. */
        const val QUEUE_LINES = 2_048
        val NOISY_LIBRARIES = listOf("io.undertow", "org.xnio", "org.jboss")
    }
}
