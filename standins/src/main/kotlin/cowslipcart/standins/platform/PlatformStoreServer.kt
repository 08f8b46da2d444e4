package cowslipcart.standins.platform

import cowslipcart.standins.http.StandinServer
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay

/** Fault that the store injects into every call. */
public sealed interface StoreFault {
    public data object None : StoreFault

    /** Answers every call with status 503. */
    public data object Busy : StoreFault

    /** Accepts calls and never answers. */
    public data object Silent : StoreFault

    /** Runs and answers each call after [delayMs]. */
    public data class Slow(public val delayMs: Long) : StoreFault
}

/** Stand-in for the platform's store over HTTP, with keyed topics only. */
public class PlatformStoreServer(port: Int = 0) : AutoCloseable {
    /** Content of the store; callers in the same process can write to it without HTTP. */
    public val log: KeyedLog = KeyedLog()

    /** Fault for the calls that arrive from now on. */
    @Volatile
    public var fault: StoreFault = StoreFault.None

    private val callCount = AtomicInteger()
    private val server = StandinServer(port) { routes() }

    /** Number of calls that arrived, with those that got a fault. */
    public val calls: Int get() = callCount.get()

    /** Port that the store listens on. */
    public val port: Int = server.start()

    override fun close(): Unit = server.close()

    private fun Application.routes() {
        routing {
            get("/log-newest") { withFault { newest() } }
            get("/log-read") { withFault { read() } }
            post("/log-append") { withFault { append() } }
        }
    }

    /** Runs [block] under the fault that is set when the call arrives. */
    private suspend fun io.ktor.server.routing.RoutingContext.withFault(
        block: suspend RoutingCall.() -> Unit
    ) {
        callCount.incrementAndGet()
        when (val current = fault) {
            StoreFault.None -> call.block()

            StoreFault.Busy -> call.respondText("", status = HttpStatusCode.ServiceUnavailable)

            StoreFault.Silent -> awaitCancellation()

            is StoreFault.Slow -> {
                delay(current.delayMs)
                call.block()
            }
        }
    }

    private suspend fun RoutingCall.newest() {
        val topic = topic()
        val items = log.newest(topic).joinToString(",") { record ->
            val value = Base64.getEncoder().encodeToString(record.value)
            """{"key":"${record.key}","value":"$value","offset":${record.offset}}"""
        }
        respondText(
            """{"items":[$items],"hasMore":false,"endOffset":${log.end(topic)}}""",
            ContentType.Application.Json
        )
    }

    /** Answers with records once there is one at `from`, or after `waitMs` (long poll). */
    private suspend fun RoutingCall.read() {
        val topic = topic()
        val from = queryParameters["from"].orEmpty().toLong()
        val maxWaitMs = queryParameters["waitMs"]?.toLong() ?: 0
        var waitedMs = 0L
        while (waitedMs < maxWaitMs && log.end(topic) <= from) {
            delay(POLL_MS)
            waitedMs += POLL_MS
        }
        val records = log.read(topic, from)
        if (records == null) {
            respondText("""{"first":${log.firstKept(topic)}}""", status = HttpStatusCode.Gone)
        } else {
            respondBytes(encode(topic, records))
        }
    }

    /** The body is a 4-byte length, which is ignored, the key length in one byte, key and value. */
    private suspend fun RoutingCall.append() {
        val topic = topic()
        val body = receive<ByteArray>()
        val keyLength = body[LENGTH_BYTES].toInt()
        val keyEnd = LENGTH_BYTES + 1 + keyLength
        val key = body.decodeToString(LENGTH_BYTES + 1, keyEnd)
        val value = body.copyOfRange(keyEnd, body.size)
        val at = queryParameters["at"]?.toLong()
        val offset = if (at == null) {
            log.append(topic, key, value)
        } else {
            log.appendAt(topic, key, value, at)
        }
        if (offset == null) {
            val end = """{"endOffset":${log.end(topic)}}"""
            respondText(end, status = HttpStatusCode.PreconditionFailed)
            return
        }
        respondText(
            """{"offset":$offset,"endOffset":${offset + 1}}""",
            ContentType.Application.Json
        )
    }

    private fun ApplicationCall.topic(): String = request.queryParameters["topic"].orEmpty()

    /**
     * Encodes the end offset and the first kept offset (8 bytes each), then for each record its
     * length (4 bytes), the length of its key (1 byte), the key and the value.
     */
    private fun encode(topic: String, records: List<KeyedRecord>): ByteArray {
        val bytes = ByteArrayOutputStream()
        val output = DataOutputStream(bytes)
        output.writeLong(log.end(topic))
        output.writeLong(log.firstKept(topic))
        for (record in records) {
            val key = record.key.encodeToByteArray()
            output.writeInt(1 + key.size + record.value.size)
            output.writeByte(key.size)
            output.write(key)
            output.write(record.value)
        }
        return bytes.toByteArray()
    }

    private companion object {
        const val LENGTH_BYTES = 4
        const val POLL_MS = 10L
    }
}
