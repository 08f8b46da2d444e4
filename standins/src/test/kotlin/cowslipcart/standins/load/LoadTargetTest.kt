package cowslipcart.standins.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against load that leaves this host. */
class LoadTargetTest {
    @Nested
    inner class Parse {
        @Test
        fun `accepts numeric loopback addresses`() {
            for (url in listOf("http://127.0.0.1:80", "http://127.9.8.255:1/", "http://[::1]:80")) {
                assertEquals(url.removeSuffix("/"), LoadTarget.parse(url).getOrNull()?.url)
            }
        }

        @Test
        fun `refuses other addresses and names`() {
            val hosts = listOf("10.0.0.1", "localhost", "127.0.0.1.example", "127.0.0.256", "[::2]")
            for (host in hosts) {
                val refusal = LoadTarget.parse("http://$host:80").leftOrNull()
                assertIs<LoadTargetError.NotLoopback>(refusal, host)
            }
        }

        @Test
        fun `refuses URLs that are more than a base`() {
            val urls = listOf(
                "https://127.0.0.1:1",
                "http://127.0.0.1@10.0.0.1:1",
                "http://127.0.0.1:1/path",
                "127.0.0.1:1"
            )
            for (url in urls) {
                assertIs<LoadTargetError.NotHttp>(LoadTarget.parse(url).leftOrNull(), url)
            }
        }
    }
}
