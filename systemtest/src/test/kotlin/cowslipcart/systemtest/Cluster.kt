package cowslipcart.systemtest

import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.SwitchPresetRequest
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.assertEquals
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Numbers and extra arguments of the processes of a [Cluster]. */
internal class ClusterPlan(
    val daemonCount: Int = 3,
    val engineCount: Int = 2,
    val engineSlots: Int = 16,
    val serviceCount: Int = 1,
    val daemonArguments: List<String> = emptyList(),
    val engineArguments: List<String> = emptyList()
)

/** A call that took effect in a service stand-in, as its journal reports it. */
@Serializable
internal data class ServiceRecord(
    @SerialName("at_ms") val atMs: Long,
    val path: String,
    @SerialName("idempotency_key") val key: String? = null
)

/** A stand-in process and an HTTP client for it. */
internal class StandinHandle(val process: ManagedProcess, val port: Int) {
    val address = "127.0.0.1:$port"

    suspend fun post(path: String, json: String) = call(path, "POST", json)

    suspend fun get(path: String): String = call(path, "GET", null)

    /** Returns the body of the answer; fails if its status is not 200. */
    suspend fun call(path: String, method: String, json: String?): String {
        val request = HttpRequestData(
            "http://$address$path",
            method,
            body = json?.encodeToByteArray()
        )
        val answer = HttpCaller.send(request)
        assertEquals(200, answer.status, "expected 200 of $method $path, found $answer")
        return answer.body
    }
}

/** Daemon and stand-in processes on loopback addresses. */
internal class Cluster private constructor(private val plan: ClusterPlan) : AutoCloseable {
    private val processes = mutableListOf<ManagedProcess>()
    lateinit var log: StandinHandle
        private set
    lateinit var hosts: StandinHandle
        private set
    lateinit var engines: List<StandinHandle>
        private set
    lateinit var services: List<StandinHandle>
        private set
    lateinit var daemons: MutableList<DaemonHandle>
        private set

    val service: StandinHandle get() = services.first()

    /** Starts a daemon with host id `host-[number]` and adds it to the host list. */
    suspend fun startDaemon(number: Int): DaemonHandle {
        val daemon = launchDaemon(number)
        list(daemon)
        return daemon
    }

    /** Ends the daemon at [index] without a shutdown and starts a new process for its host. */
    suspend fun replaceDaemon(index: Int): DaemonHandle {
        daemons[index].process.kill()
        return startDaemon(index + 1).also { daemons[index] = it }
    }

    /** Awaits that all daemons are ready and know the current peer addresses of all. */
    suspend fun awaitReady() {
        val addresses = daemons.map { "127.0.0.1:${it.peerPort}" }.toSet()
        daemons.forEach { daemon ->
            awaitTrue("${daemon.hostId} to be ready", LONG_BOUND_MS) { daemon.isReady() }
            var found = emptySet<String>()
            awaitTrue({ "${daemon.hostId} to know $addresses, found $found" }, LONG_BOUND_MS) {
                found = daemon.hosts().filter { it.isOwner }.map { it.peerAddress }.toSet()
                found == addresses
            }
        }
    }

    /** Calls that took effect in all service stand-ins, in order of time. */
    suspend fun journal(): List<ServiceRecord> = services.flatMap {
        json.decodeFromString<List<ServiceRecord>>(it.get("/journal"))
    }.sortedBy { it.atMs }

    /** Number of calls with idempotency key [key] that took effect in the service stand-ins. */
    suspend fun runCount(key: String): Int = journal().count { it.key == key }

    suspend fun setLogFaults(change: String) {
        log.post("/faults", change)
    }

    /** Writes an entry of the host list. */
    suspend fun list(id: String, address: String, kind: String, state: String) {
        val entry = """{"address":"$address","domain":"domain-a","kind":"$kind","state":"$state"}"""
        hosts.call("/hosts/$id", "PUT", entry)
    }

    /** Awaits that no daemon has an open request and no service stand-in runs a call. */
    suspend fun awaitIdle() {
        daemons.forEach { daemon ->
            awaitTrue("${daemon.hostId} to have no open request", LONG_BOUND_MS) {
                daemon.gauge("cowslipcart_open_sessions") == 0.0
            }
        }
        services.forEach { service ->
            awaitTrue("the service stand-in to run nothing", LONG_BOUND_MS) {
                service.get("/load").contains("\"running\":0")
            }
        }
    }

    override fun close() = processes.forEach { it.close() }

    private suspend fun launch() = coroutineScope {
        val log = async { standin("log") }
        val hosts = async { standin("hosts", "--lag-ms", "100") }
        val engines = (1..plan.engineCount).map {
            async { standin("engine", *plan.engineArguments.toTypedArray()) }
        }
        val services = (1..plan.serviceCount).map { async { standin("service") } }
        this@Cluster.log = log.await()
        this@Cluster.hosts = hosts.await()
        val started = (1..plan.daemonCount).map { async { launchDaemon(it) } }.awaitAll()
        daemons = CopyOnWriteArrayList(started)
        daemons.forEach { list(it) }
        this@Cluster.engines = engines.awaitAll()
        this@Cluster.services = services.awaitAll()
        publishSample()
    }

    private suspend fun publishSample() {
        val declarations = SampleDeclarations.build(
            engines.map { it.address },
            services.map { it.address },
            plan.engineSlots
        )
        val first = daemons.first()
        val published = first.publish(PublishRequest(0, declarations, author = "fixture"))
        assertEquals(200, published.status, "expected the sample accepted, found $published")
        val switched = first.switchPreset(SwitchPresetRequest(1, "ordinary", "fixture"))
        assertEquals(200, switched.status, "expected the preset accepted, found $switched")
        awaitReady()
        daemons.forEach { daemon ->
            awaitTrue("${daemon.hostId} to have revision 2", LONG_BOUND_MS) {
                daemon.config().revision == 2L
            }
            awaitTrue("${daemon.hostId} to take sign-offs", LONG_BOUND_MS) {
                daemon.signOff(newKey(), """{"frame":"fixture"}""").status == 201
            }
        }
    }

    private suspend fun list(daemon: DaemonHandle) =
        list(daemon.hostId, "127.0.0.1:${daemon.peerPort}", "entry", "live")

    private suspend fun launchDaemon(number: Int): DaemonHandle {
        val hostId = "host-$number"
        val arguments = listOf(
            "--host-id", hostId, "--failure-domain", "domain-$number",
            "--http-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
            "--log-url", "http://${log.address}", "--host-list-url", "http://${hosts.address}",
            "--drain-notice-ms", "1000"
        ) + plan.daemonArguments
        val secrets = mapOf(
            "COWSLIPCART_PEER_SECRET" to DaemonHandle.PEER_SECRET,
            "COWSLIPCART_OPERATOR_TOKEN" to DaemonHandle.OPERATOR_TOKEN
        )
        val process = start(hostId, Program.DAEMON, arguments, secrets)
        val line = process.awaitListening()
        val match = checkNotNull(LISTENING_LINE.matchEntire(line)) {
            "expected 'listening http IP:PORT peer PORT', found '$line'"
        }
        val (httpPort, peerPort) = match.destructured
        return DaemonHandle(hostId, process, httpPort.toInt(), peerPort.toInt())
    }

    private suspend fun standin(kind: String, vararg arguments: String): StandinHandle {
        val process = start(kind, Program.STANDIN, listOf(kind, "--port", "0") + arguments)
        return StandinHandle(process, process.awaitListening().substringAfterLast(':').toInt())
    }

    private fun start(
        name: String,
        program: Program,
        arguments: List<String>,
        environment: Map<String, String> = emptyMap()
    ): ManagedProcess = ManagedProcess.start(name, program, arguments, environment).also {
        synchronized(processes) { processes += it }
    }

    companion object {
        private val LISTENING_LINE = Regex("listening http [0-9.]+:([0-9]+) peer ([0-9]+)")
        private val json = Json { ignoreUnknownKeys = true }

        /** Starts all processes, publishes the sample and awaits that each daemon serves calls. */
        suspend fun start(plan: ClusterPlan = ClusterPlan()): Cluster {
            val cluster = Cluster(plan)
            try {
                cluster.launch()
            } catch (e: Throwable) {
                cluster.close()
                throw e
            }
            return cluster
        }
    }
}
