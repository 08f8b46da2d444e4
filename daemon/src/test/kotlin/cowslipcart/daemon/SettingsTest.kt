package cowslipcart.daemon

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a daemon that starts with invalid settings or reports only the first fault. */
class SettingsTest {
    private val valid = RawSettings(
        hostId = "h1",
        failureDomain = "d1",
        httpListen = "127.0.0.1:8080",
        peerListen = "127.0.0.1:0",
        logUrl = "http://127.0.0.1:7000/",
        hostListUrl = "http://127.0.0.1:7001",
        peerSecret = "0123456789abcdef",
        operatorToken = "0123456789abcdef",
        drainNoticeMs = "2000",
        drainLimitMs = "30000",
        maxBodyBytes = "4096",
        streamIdleTimeoutMs = "1000",
        cacheReadBytesPerS = "16384",
        logFormat = "json"
    )

    @Nested
    inner class Valid {
        @Test
        fun `valid settings are returned`() {
            val settings = checkSettings(valid).getOrNull()

            assertEquals(8080, settings?.httpListen?.port)
            assertEquals("http://127.0.0.1:7000", settings?.logUrl)
        }
    }

    @Nested
    inner class Invalid {
        @Test
        fun `all faults are reported with their flags`() {
            val raw = valid.copy(
                hostId = "a b",
                httpListen = "localhost:1",
                peerListen = "127.0.0.1:70000",
                logUrl = null,
                peerSecret = "short",
                drainNoticeMs = "-1",
                logFormat = "xml"
            )

            val flags = checkSettings(raw).leftOrNull()?.faults?.map { it.substringBefore(':') }

            assertEquals(
                listOf(
                    "--host-id",
                    "--http-listen",
                    "--peer-listen",
                    "--log-url",
                    "--peer-secret",
                    "--drain-notice-ms",
                    "--log-format"
                ),
                flags
            )
        }
    }
}
