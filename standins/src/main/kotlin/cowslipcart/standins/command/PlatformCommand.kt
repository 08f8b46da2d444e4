package cowslipcart.standins.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import cowslipcart.standins.platform.PlatformStoreServer
import cowslipcart.standins.platform.RunnerServer
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking

/** Runs the platform's store with one configuration, and runners of one plain service. */
internal class PlatformCommand : CliktCommand("platform") {
    private val port by option(help = "port of the store on 127.0.0.1; 0 for a free one")
        .int().default(0)
    private val runners by option(help = "runners to start and list").int().default(1)

    override fun run() {
        val store = PlatformStoreServer(port)
        repeat(runners) { index ->
            val runner = RunnerServer("runner-$index")
            val entry = """{"service":"desk","address":"${runner.address}","zone":"a",""" +
                """"version":"v1","slots":$SLOTS,"state":"ready","coldLeftMs":0,"sequence":1}"""
            store.log.append("keyed.servers", "runner-$index", entry.toByteArray())
        }
        store.log.append("keyed.op", "config", CONFIG.toByteArray())
        println("listening 127.0.0.1:${store.port}")
        runBlocking { awaitCancellation() }
    }

    private companion object {
        const val SLOTS = 16

        /** Routes `/read/` on 127.0.0.1 to the service, for any caller. */
        const val CONFIG = """{"version":1,"routes":[{"name":"read","host":"127.0.0.1",""" +
            """"pathPrefix":"/read/","kind":"idempotent","timeoutMs":2000,""" +
            """"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":2}],""" +
            """"services":[{"name":"desk","maxConns":100}]}"""
    }
}
