package cowslipcart.systemtest.soak

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** A gateway as callers see it. */
internal class SoakTarget(val name: String, val frontPort: Int)

/** Sends requests one after the other, on open connections for as long as they last. */
internal class SoakCaller(
    private val number: Int,
    private val targets: () -> List<SoakTarget>,
    private val log: SoakLog,
    private val random: Random
) {
    private var connection: KeptConnection? = null
    private var target: SoakTarget? = null
    private var sent = 0

    /** Sends requests until [isEnded]. */
    fun run(isEnded: () -> Boolean) {
        while (!isEnded()) {
            sendOne()
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_PAUSE_MS))
        }
        connection?.close()
    }

    private fun sendOne() {
        val kind = SoakKind.entries.random(random)
        val usesRemovedKey = random.nextInt(REMOVED_KEY_PART) == 0
        val id = "c$number-${++sent}"
        val open = connection ?: connect() ?: return
        val sentAtMs = log.nowMs()
        val outcome = open.exchange(encode(id, kind, usesRemovedKey))
        log.requests += SoakRequest(
            id,
            kind,
            checkNotNull(target).name,
            usesRemovedKey,
            sentAtMs,
            log.nowMs(),
            outcome
        )
        val keeps = outcome is CallerOutcome.Whole && outcome.keeps
        if (!keeps) {
            open.close()
            connection = null
        }
    }

    private fun connect(): KeptConnection? {
        val next = targets().random(random)
        target = next
        connection = try {
            KeptConnection(next.frontPort, CALLER_TIMEOUT_MS)
        } catch (_: IOException) {
            null
        }
        return connection
    }

    private fun encode(id: String, kind: SoakKind, usesRemovedKey: Boolean): ByteArray {
        val (method, path, extra) = when (kind) {
            SoakKind.ORDER -> Triple("POST", "/order/$id", "")
            SoakKind.READ -> Triple("GET", "/read/$id", "")
            SoakKind.CHAT -> Triple("POST", "/chat/$id", "Token-Count: 60,80\r\nModel: m\r\n")
        }
        val key = if (usesRemovedKey) GatewaySoak.REMOVED_KEY else GatewaySoak.LASTING_KEY
        val body = if (method == "GET") "" else "{}"
        return (
            "$method $path HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: $id\r\n" +
                "Api-Key: $key\r\nDeadline-Ms: $DEADLINE_MS\r\n$extra" +
                "Content-Length: ${body.length}\r\n\r\n$body"
            ).toByteArray()
    }

    private companion object {
        const val MAX_PAUSE_MS = 40L
        const val DEADLINE_MS = 3_000

        /** Longer than the deadline, so that the gateway's own answer is seen. */
        const val CALLER_TIMEOUT_MS = 4_000

        /** One request in so many uses the key that is taken away. */
        const val REMOVED_KEY_PART = 5
    }
}
