package cowslipcart.daemon.gateway

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.LoggerFactory

/**
 * Configures logging as JSON lines to standard output, on a separate thread. Lines are dropped when
 * the output does not keep up, so that logging never blocks a request. This is done in code, since
 * loading the XML parser takes a tenth of the startup time.
 */
public fun configureGatewayLog() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val encoder = JsonEncoder().apply {
        setContext(context)
        setWithSequenceNumber(false)
        setWithNanoseconds(false)
        setWithContext(false)
        setWithMDC(false)
        setWithThreadName(false)
        start()
    }
    val console = ConsoleAppender<ILoggingEvent>().apply {
        setContext(context)
        setEncoder(encoder)
        start()
    }
    val async = AsyncAppender().apply {
        setContext(context)
        isNeverBlock = true
        queueSize = QUEUE_CAPACITY
        maxFlushTime = LOG_FLUSH_MS
        addAppender(console)
        start()
    }
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.INFO
        addAppender(async)
    }
}

/** Writes the lines that wait, for [LOG_FLUSH_MS] at most, and stops logging. */
public fun stopGatewayLog() {
    (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
}

/** Leaves most of the time reserved for the exit when the output does not keep up. */
private const val LOG_FLUSH_MS = 200

/** Log lines that wait for the output. */
private const val QUEUE_CAPACITY = 1_024
