package cowslipcart.daemon.http

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.Tier
import io.ktor.http.headersOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against session names that are lost, or long enough to slow down the control thread. */
class CallerHeadersTest {
    private val organisation = OrganisationSpec(OrganisationId("org"), "", Tier(0), 1.0, null)

    private fun read(vararg values: String) =
        readHints(headersOf("X-Session", values.toList()), organisation, Configuration.EMPTY)

    @Nested
    inner class Session {
        @Test
        fun `up to 128 characters are accepted`() {
            val name = "s".repeat(128)
            assertEquals(name, read(name).getOrNull()?.session?.value)
        }

        @Test
        fun `an empty, a longer and a second name are refused`() {
            for (values in listOf(arrayOf(""), arrayOf("s".repeat(129)), arrayOf("a", "b"))) {
                assertIs<HttpError.BadRequest>(read(*values).leftOrNull())
            }
        }
    }
}
