package cowslipcart.systemtest.soak

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Name and HTTP port of a gateway that callers send to. */
internal class SoakTarget(val name: String, val frontPort: Int)

/** Sends random requests one at a time and reuses its connection while that stays open. */
internal class SoakCaller(
    private val number: Int,
    private val targets: () -> List<SoakTarget>,
    private val log: SoakLog,
    private val random: Random
) {
    private var connection: KeepAliveConnection? = null
    private var target: SoakTarget? = null
    private var sentCount = 0

    /** Sends requests until [isStopped] returns true. */
    fun run(isStopped: () -> Boolean) {
        while (!isStopped()) {
            sendOne()
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_PAUSE_MS))
        }
        connection?.close()
    }

    private fun sendOne() {
        val kind = RequestKind.entries.random(random)
        val usesRemovedKey = random.nextInt(REMOVED_KEY_ONE_IN) == 0
        val id = "c$number-${++sentCount}"
        val current = connection ?: connect() ?: return
        val sentAtMs = log.nowMs()
        val outcome = current.exchange(encode(id, kind, usesRemovedKey))
        log.requests += SoakRequest(
            id,
            kind,
            checkNotNull(target).name,
            usesRemovedKey,
            sentAtMs,
            log.nowMs(),
            outcome
        )
        val isKeptAlive = outcome is CallerOutcome.Complete && outcome.isKeptAlive
        if (!isKeptAlive) {
            current.close()
            connection = null
        }
    }

    private fun connect(): KeepAliveConnection? {
        val next = targets().random(random)
        target = next
        connection = try {
            KeepAliveConnection(next.frontPort, CALLER_TIMEOUT_MS)
        } catch (_: IOException) {
            null
        }
        return connection
    }

    private fun encode(id: String, kind: RequestKind, usesRemovedKey: Boolean): ByteArray {
        val (method, path, extraHeaders) = when (kind) {
            RequestKind.ORDER -> Triple("POST", "/order/$id", "")
            RequestKind.READ -> Triple("GET", "/read/$id", "")
            RequestKind.CHAT -> Triple("POST", "/chat/$id", "Token-Count: 60,80\r\nModel: m\r\n")
        }
        val key = if (usesRemovedKey) GatewaySoak.REMOVED_KEY else GatewaySoak.KEPT_KEY
        val body = if (method == "GET") "" else "{}"
        return (
            "$method $path HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: $id\r\n" +
                "Api-Key: $key\r\nDeadline-Ms: $DEADLINE_MS\r\n$extraHeaders" +
                "Content-Length: ${body.length}\r\n\r\n$body"
            ).toByteArray()
    }

    private companion object {
        const val MAX_PAUSE_MS = 40L
        const val DEADLINE_MS = 3_000

        /** Exceeds the deadline, so that the gateway answers before the caller gives up. */
        const val CALLER_TIMEOUT_MS = 4_000

        /** One in this many requests uses the key that is removed during the soak. */
        const val REMOVED_KEY_ONE_IN = 5
    }
}
