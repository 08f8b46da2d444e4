package cowslipcart.daemon

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import sun.misc.Signal

/** Runs a daemon until SIGTERM or SIGINT, then drains it and exits the process with status 0. */
internal fun runDaemon(settings: Settings) {
    configureLogging(settings.isLogJson)
    val daemon = runBlocking { Daemon.create(settings) }
    val ports = runBlocking { daemon.start() }
    println("listening http ${settings.httpListen.ip}:${ports.httpPort} peer ${ports.peerPort}")
    System.out.flush()
    val stop = CountDownLatch(1)
    Signal.handle(Signal("TERM")) { stop.countDown() }
    Signal.handle(Signal("INT")) { stop.countDown() }
    stop.await()
    runBlocking { daemon.drain() }
    exitProcess(0)
}

private fun configureLogging(isJson: Boolean) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val file = if (isJson) "/logback-json.xml" else "/logback-text.xml"
    context.reset()
    JoranConfigurator().apply { this.context = context }
        .doConfigure(Daemon::class.java.getResource(file))
}
