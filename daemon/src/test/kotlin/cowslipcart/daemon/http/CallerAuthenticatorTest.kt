package cowslipcart.daemon.http

import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.control.Readiness
import io.ktor.http.Headers
import io.ktor.http.headersOf
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

internal class CallerAuthenticatorTest {
    private val published = PublishedState()
    private val authenticator = CallerAuthenticator(published)
    private val keyed = headersOf(IDEMPOTENCY_KEY_HEADER, "any")
    private val plain = headersOf()

    private fun problemOf(headers: Headers) =
        authenticator.authenticateRequest(headers).leftOrNull()?.toProblem()?.name

    @Nested
    inner class NotServing {
        /** Guards against "not run" for a keyed request that has run at another host. */
        @Test
        fun `a request with a key is answered with outcome unknown`() {
            assertEquals("outcome-unknown", problemOf(keyed))
            published.readiness.value = Readiness(true, emptyList())
            published.isDraining.value = true
            assertEquals("outcome-unknown", problemOf(keyed))
        }

        /** Guards against a host without configuration that rejects a valid token. */
        @Test
        fun `a request without a key is answered with not run`() {
            assertEquals("not-run", problemOf(plain))
        }
    }

    @Nested
    inner class Lookup {
        /** Guards against "not run" for the lookup of a request that has run. */
        @Test
        fun `a lookup on a starting host is answered with outcome unknown`() {
            val error = authenticator.authenticateLookup(plain).leftOrNull()
            assertEquals("outcome-unknown", error?.toProblem()?.name)
        }
    }

    @Nested
    inner class Serving {
        @Test
        fun `a caller without a known token is unauthenticated`() {
            published.readiness.value = Readiness(true, emptyList())
            assertEquals("unauthenticated", problemOf(keyed))
        }
    }
}
