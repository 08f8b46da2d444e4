package cowslipcart.daemon.gateway

import io.ktor.network.sockets.InetSocketAddress
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

class HostRecordTest {
    private fun decode(text: String) = HostRecord.decode(text.toByteArray())

    @Nested
    inner class Decoding {
        @Test
        fun `a record survives a round trip`() {
            val record = assertNotNull(decode("10.1.0.9:7000 domain-a 0.5"))
            assertEquals("10.1.0.9:7000 domain-a 0.5", record.encode().decodeToString())
        }
    }

    @Nested
    inner class OddRecords {
        /** Guards against an odd port or address that ended the coroutine that lists the hosts. */
        @Test
        fun `a record without a valid address or capacity is rejected`() {
            val odd = listOf("10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9:+80").map {
                "$it a 1.0"
            } + listOf("host.example:80", "1.2.3:80", "999.1.1.1:80", ":80", "10.1.0.9").map {
                "$it a 1.0"
            } + listOf("NaN", "Infinity", "-1.0", "0.0", "many").map { "10.1.0.9:80 a $it" }
            for (text in odd) assertNull(decode(text), text)
        }

        /** A socket address with such a port ended the coroutine that lists the hosts. */
        @Test
        fun `a readable record has an address that can be used`() {
            for (port in listOf("65535", "65536", "2147483647", "-1")) {
                decode("10.1.0.9:$port a 1.0")?.let {
                    InetSocketAddress(it.address.ip, it.address.port)
                }
            }
        }

        @Test
        fun `random bytes are rejected`() {
            val random = Random(SEED)
            repeat(1_000) { assertNull(HostRecord.decode(random.nextBytes(random.nextInt(80)))) }
        }
    }

    private companion object {
        const val SEED = 43
    }
}
