package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.resetOnClose
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.send
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against answers that break off while the request is still being written. */
class EarlyAnswerTest {
    /** Returns how an attempt with a long body ends at an endpoint that does [script]. */
    private fun outcomeOf(kind: WorkKind, script: (Socket) -> Unit): AttemptOutcome =
        ExchangeFixture { }.use { fixture ->
            ScriptedEndpoint(script).use { endpoint ->
                runBlocking {
                    val body = ByteArray(BODY_BYTES)
                    fixture.run("r", kind, body = body, target = endpoint.entry("e")).outcome
                }
            }
        }

    private fun head(headers: String) = "HTTP/1.1 200 OK\r\n${TestHeaderCodec.REQUEST_ID}: r\r\n" +
        "${TestHeaderCodec.SIGNATURE}: s\r\n$headers\r\n"

    private fun assertBroken(kind: WorkKind, answer: String, end: (Socket) -> Unit) {
        for (pauseMs in listOf(0L, 1L, 5L, 20L, 60L)) {
            val outcome = outcomeOf(kind) { socket ->
                socket.readRequest(0)
                socket.send(answer)
                Thread.sleep(pauseMs)
                end(socket)
            }
            val isSuccess = (outcome as? AttemptOutcome.Answered)?.isSuccess == true
            assertFalse(isSuccess, "after $pauseMs ms: $outcome")
        }
    }

    @Nested
    inner class WithoutLength {
        @Test
        fun `an answer that is reset during the upload is broken`() =
            assertBroken(WorkKind.AtMostOnce, head("") + "part") { it.resetOnClose() }

        @Test
        fun `a stream that is reset during the upload is broken`() {
            val answer = head("Content-Type: text/event-stream\r\n") + "id: 1\ndata: x\n\n"
            val kind = WorkKind.EventStream(isResumable = false, gapTargetMs = 300)
            assertBroken(kind, answer) { it.resetOnClose() }
        }

        /** Closing with unread bytes is a reset, which may overtake the end of the answer. */
        @Test
        fun `an answer that is closed during the upload is broken`() =
            assertBroken(WorkKind.AtMostOnce, head("") + "part") { it.shutdownOutput() }

        @Test
        fun `an answer after the upload is whole`() {
            val outcome = outcomeOf(WorkKind.AtMostOnce) { socket ->
                socket.readRequest(BODY_BYTES)
                socket.send(head("") + "whole")
            }
            assertTrue(outcome is AttemptOutcome.Answered && outcome.isSuccess, "$outcome")
        }
    }

    @Nested
    inner class WithLength {
        @Test
        fun `an answer that is whole before the upload counts`() {
            val outcome = outcomeOf(WorkKind.AtMostOnce) { socket ->
                socket.readRequest(0)
                socket.send(head("Content-Length: 5\r\n") + "whole")
                Thread.sleep(200)
            }
            assertTrue(outcome is AttemptOutcome.Answered && outcome.isSuccess, "$outcome")
        }
    }

    private companion object {
        /** More than the buffers of a connection on loopback. */
        const val BODY_BYTES = 8 * 1_024 * 1_024
    }
}
