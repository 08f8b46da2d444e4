package cowslipcart.systemtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests requests that take most of their time limit, without any fault. */
class SlowReadTest {
    private val cluster = GatewayCluster()

    @AfterTest
    fun stop() = cluster.close()

    @Nested
    inner class Idempotent {
        /** Guards against a read that starts anew elsewhere although its endpoint would answer. */
        @Test
        fun `a read that takes three quarters of its time limit is answered`(): Unit = runBlocking {
            repeat(2) { cluster.startRunner("desk-$it", "desk") }
            cluster.publish()
            val gateway = cluster.startGateway("gateway").also { it.awaitReady() }

            val headers = listOf("Work-Ms" to "$WORK_MS")
            assertEquals(200, gateway.send("/read/1", "GET", null, headers = headers).status)
        }
    }

    private companion object {
        /** The route of reads has a time limit of 2,000 ms. */
        const val WORK_MS = 1_500L
    }
}
