package cowslipcart.systemtest

import cowslipcart.standins.platform.PlatformStoreServer
import cowslipcart.standins.platform.RunnerServer
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.writeText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/** Gateway processes with stand-ins for the store and the runners of the platform. */
internal class GatewayCluster(private val builds: GatewayBuilds = GatewayBuilds.One) :
    AutoCloseable {
    val store = PlatformStoreServer()
    private val runners = mutableListOf<RunnerServer>()
    private val gateways = mutableListOf<GatewayHandle>()
    private var revision = 0L
    private var lastSequence = 0L
    private val givenPorts = mutableSetOf<Int>()

    /** Starts a runner and registers it for [service]. */
    fun startRunner(
        id: String,
        service: String,
        eventGapMs: Long = 0,
        version: String = "v1"
    ): RunnerServer {
        val runner = RunnerServer(id, eventGapMs)
        runners += runner
        register(id, runner.address, service, "ready", version = version)
        return runner
    }

    /** Orders that the traffic of [service] move to runners of version [to]. */
    fun orderRollout(service: String, to: String, durationS: Int) {
        val order = """{"service":"$service","to":"$to","durationS":$durationS}"""
        store.log.append("keyed.op", "rollout/$service", order.toByteArray())
    }

    /** Returns all states that the gateways have written about a roll-out of [service]. */
    fun rolloutStates(service: String): List<String> = store.log.read("keyed.status", 0).orEmpty()
        .filter { it.key == "rollout/$service" }
        .map { it.value.decodeToString() }

    /** Writes the registry entry of [runner] to the store. */
    fun register(id: String, runner: RunnerServer, service: String, state: String = "ready") =
        register(id, runner.address, service, state)

    /** Writes the registry entry of a runner that listens on [address] to the store. */
    @Synchronized
    fun register(
        id: String,
        address: String,
        service: String,
        state: String,
        slots: Int = 4,
        version: String = "v1"
    ) {
        lastSequence++
        val entry = """{"service":"$service","address":"$address","zone":"a",""" +
            """"version":"$version","slots":$slots,"state":"$state","coldLeftMs":0,""" +
            """"sequence":$lastSequence}"""
        store.log.append("keyed.servers", id, entry.toByteArray())
    }

    /** Writes the next revision of the configuration to the store. */
    @Synchronized
    fun publish(
        routes: String = ROUTES,
        keys: List<String> = listOf(KEY),
        ratePerS: Int = 1_000_000,
        idleTimeoutMs: Long = 5_000,
        maxBodyBytes: Int = 65_536
    ) {
        revision += 3
        val quoted = keys.joinToString(",") { "\"$it\"" }
        val config = """{"version":$revision,"routes":[$routes],"services":[""" +
            """{"name":"model","maxConns":50,"engine":{"slots":4,"stride":6}},""" +
            """{"name":"desk","maxConns":50},{"name":"counter","maxConns":50}],""" +
            """"limits":{"maxHeaderBytes":16384,"maxBodyBytes":$maxBodyBytes,""" +
            """"headerTimeoutMs":1000,"idleTimeoutMs":$idleTimeoutMs},""" +
            """"tenants":[{"name":"org","apiKeys":[$quoted],"unit":"tokens",""" +
            """"plainTokens":200,"ratePerS":$ratePerS,"burst":$ratePerS}]}"""
        store.log.append("keyed.op", "config", config.toByteArray())
    }

    /**
     * Starts a gateway process; it becomes ready once it has read a configuration. [limits] are
     * those of its machine in the settings, as JSON.
     */
    fun startGateway(
        name: String,
        storePort: Int = store.port,
        jvmOptions: List<String> = ManagedProcess.JVM_OPTIONS,
        limits: String = "{}"
    ): GatewayHandle {
        val front = freeTcpPort()
        val ready = freeTcpPort()
        val peer = freeTcpPort()
        val settings = """{"node":"$name","role":"gateway","zone":"a","ip":"127.0.0.1",""" +
            """"listen":{"front":"127.0.0.1:$front","ready":"127.0.0.1:$ready"},""" +
            """"portRange":[$peer,$peer],"bootstrap":true,"unknown":{"x":[1]},""" +
            """"bounds":{"graceS":8,"retryBudgetRatio":0.2,"budgetSlack":100,""" +
            """"exposureShare":0.1,"exposureSlack":50,"rollbackMs":5000},""" +
            """"limits":$limits,"platform":{"address":"127.0.0.1:$storePort"}}"""
        val file = Files.createTempFile(Files.createDirectories(Path.of("target")), name, ".json")
        file.writeText(settings)
        val process = ManagedProcess.start(
            name,
            Program.GATEWAY,
            emptyList(),
            mapOf("COWSLIPCART_CONFIG" to file.toString()),
            jvmOptions,
            builds.next()
        )
        return GatewayHandle(process, front, ready).also { gateways += it }
    }

    override fun close() {
        gateways.forEach { it.process.close() }
        runners.forEach { it.close() }
        store.close()
    }

    /**
     * Returns a port below those that the kernel gives to outgoing connections, since one of these
     * may take the port before the gateway binds it, and no port twice, for the same reason.
     */
    @Synchronized
    private fun freeTcpPort(): Int =
        generateSequence { LISTEN_PORTS.random() }.take(MAX_PORT_TRIES).first { port ->
            try {
                ServerSocket(port).use { givenPorts.add(port) }
            } catch (_: IOException) {
                false
            }
        }

    companion object {
        const val KEY = "sample-key"
        private val LISTEN_PORTS = 20_000..32_000
        private const val MAX_PORT_TRIES = 100
        private const val CHAT = """{"name":"chat","host":"shop.example","pathPrefix":"/chat/",""" +
            """"kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"priority":0,""" +
            """"service":"model","maxAttempts":2,"sticky":true,"streamResume":true,""" +
            """"gapTargetMs":250}"""
        private const val READ = """{"name":"read","host":"shop.example","pathPrefix":"/read/",""" +
            """"kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,""" +
            """"service":"desk","maxAttempts":2}"""
        private const val ORDER = """{"name":"order","host":"shop.example",""" +
            """"pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":2000,""" +
            """"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1}"""
        const val ROUTES = "$CHAT,$READ,$ORDER"

        /** Orders may take longer than the shutdown of a gateway. */
        val ROUTES_WITH_LONG_ORDERS =
            "$CHAT,$READ,${ORDER.replace("\"timeoutMs\":2000", "\"timeoutMs\":12000")}"
        const val ROUTES_WITHOUT_READ = "$CHAT,$ORDER"
    }
}

/** Options of the JVM of a deployed gateway, but those of the archive that its build makes. */
internal fun deployedJvmOptions(): List<String> {
    val run = Path.of("..", "deploy", "system.toml").readLines().first { it.startsWith("run = ") }
    return run.substringAfter("java ").substringBefore(" -jar").split(' ')
        .filterNot { it.startsWith("-Xshare") || it.startsWith("-XX:SharedArchiveFile") }
}

/** A gateway process and an HTTP client for it. */
internal class GatewayHandle(
    val process: ManagedProcess,
    val frontPort: Int,
    private val readyPort: Int
) {
    private var lastId = 0

    private companion object {
        const val SMALL_BUFFER_BYTES = 4_096
    }

    suspend fun awaitReady() = awaitValue("gateway to be ready", LONG_BOUND_MS) {
        isReady().takeIf { it }
    }

    suspend fun isReady(): Boolean = HttpCaller.trySend(
        HttpRequestData("http://127.0.0.1:$readyPort/readyz", "GET"),
        timeoutMs = 1_000
    )?.status == 200

    /** Sends a request with a new attempt id; [headers] are added to the standard ones. */
    suspend fun send(
        path: String,
        method: String = "POST",
        body: String? = "{}",
        key: String? = GatewayCluster.KEY,
        headers: List<Pair<String, String>> = emptyList()
    ): HttpAnswer = HttpCaller.send(
        HttpRequestData(
            "http://127.0.0.1:$frontPort$path",
            method,
            listOf("Host" to "shop.example", "Attempt-Id" to "a${++lastId}-$frontPort") +
                listOf("Deadline-Ms" to "4000").filterNot { (name, _) ->
                    headers.any { it.first == name }
                } + listOfNotNull(key?.let { "Api-Key" to it }) + headers,
            body?.toByteArray()
        )
    )

    /** Sends a request for [path] and reads all bytes, [bytesPerS], until the connection closes. */
    suspend fun readSlowly(path: String, bytesPerS: Int): String = Socket().use { socket ->
        socket.receiveBufferSize = SMALL_BUFFER_BYTES
        socket.connect(InetSocketAddress("127.0.0.1", frontPort))
        val head = "POST $path HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: slow\r\n" +
            "Deadline-Ms: 12000\r\nApi-Key: ${GatewayCluster.KEY}\r\nContent-Length: 0\r\n\r\n"
        socket.getOutputStream().write(head.toByteArray())
        val received = StringBuilder()
        val startMs = nowMs()
        while (true) {
            val piece = socket.getInputStream().readNBytes(SMALL_BUFFER_BYTES)
            if (piece.isEmpty()) break
            received.append(piece.decodeToString())
            delay(startMs + received.length * 1_000L / bytesPerS - nowMs())
        }
        received.toString()
    }

    /** Sends [text] on a new connection and returns all bytes received until it closes. */
    fun sendRaw(text: String): String = Socket("127.0.0.1", frontPort).use { socket ->
        socket.getOutputStream().write(text.toByteArray())
        socket.getInputStream().readAllBytes().decodeToString()
    }

    /**
     * Sends [head] and, [pauseMs] later, [body] on a new connection; returns all bytes received
     * until it closes.
     */
    suspend fun sendInParts(head: String, body: String, pauseMs: Long): String =
        withContext(Dispatchers.IO) {
            Socket("127.0.0.1", frontPort).use { socket ->
                socket.getOutputStream().write(head.toByteArray())
                delay(pauseMs)
                socket.getOutputStream().write(body.toByteArray())
                socket.getInputStream().readAllBytes().decodeToString()
            }
        }
}
