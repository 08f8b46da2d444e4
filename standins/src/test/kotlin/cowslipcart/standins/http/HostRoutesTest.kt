package cowslipcart.standins.http

import cowslipcart.standins.hosts.HostDirectory
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against a host list whose JSON differs from the published interface. */
class HostRoutesTest {
    private var nowMs = 0L
    private val state = Confined(HostListState(HostDirectory(lagMs = 50)))
    private val server = HttpTestServer { hostRoutes(state) { nowMs } }

    @AfterTest
    fun close() {
        server.close()
        state.close()
    }

    @Nested
    inner class Entries {
        @Test
        fun `an entry is listed after the lag`(): Unit = runBlocking {
            val body = """"address":"127.0.0.1:1","domain":"d1","kind":"entry","state":"leaving"}"""
            server.client.put("${server.url}/hosts/h1") { setBody("{$body") }

            assertEquals("[]", server.get("/hosts").bodyAsText())
            nowMs = 50
            assertEquals("""[{"id":"h1",$body]""", server.get("/hosts").bodyAsText())
        }
    }
}
