package cowslipcart.daemon.gateway

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

class GatewayStateTest {
    private val state = GatewayState()

    @Nested
    inner class ClosingIdleConnections {
        /** Guards against kept connections that stay open, unread, until the process is gone. */
        @Test
        fun `a connection that waits for a request is closed`(): Unit = runBlocking {
            val waiting = async { state.readUnlessClosing { awaitCancellation() } }
            state.closeIdleConnections()
            assertFalse(waiting.await())
        }

        /** Guards against a request that has arrived and is dropped with its connection. */
        @Test
        fun `bytes that have arrived are read`(): Unit = runBlocking {
            state.closeIdleConnections()
            assertTrue(state.readUnlessClosing { true })
        }

        @Test
        fun `a connection is served until then`(): Unit = runBlocking {
            val byte = CompletableDeferred<Boolean>()
            val waiting = async { state.readUnlessClosing { byte.await() } }
            byte.complete(true)
            assertTrue(waiting.await())
        }
    }
}
