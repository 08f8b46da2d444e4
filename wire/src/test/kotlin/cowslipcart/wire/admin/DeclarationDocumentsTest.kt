package cowslipcart.wire.admin

import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested

/** Guards against a field that is lost between the command line, the daemon and the log. */
class DeclarationDocumentsTest {
    private val declarations: List<Declaration> = listOf(
        OrganisationSpec(OrganisationId("shop"), "ab", Tier(1), 2.5, null),
        TierSpec(Tier(1), "drafts", 10_000, 200),
        PoolSpec(PoolId("assistant"), PoolKind.Model("fitting"), 3),
        PoolSpec(
            PoolId("desk"),
            PoolKind.Service(listOf(RouteSpec("POST", "/reservations", false, Tier(0)))),
            1
        ),
        EndpointSpec(
            EndpointId("e1"),
            PoolId("assistant"),
            "127.0.0.1:1",
            DomainId("d"),
            slotCount = 1,
            budgetTokens = 2,
            prefillTokensPerS = 3.0,
            decodeTokensPerS = 4.0,
            cacheTokens = 5,
            canResume = true,
            checksFencing = true
        ),
        PresetSpec(PresetName("peak"), mapOf(Tier(0) to TierPolicy(0.5, 7)), 0.25),
        DrainSpec(EndpointId("e1"))
    )

    @Nested
    inner class RoundTrip {
        @Test
        fun `keeps each declaration`() {
            for (declaration in declarations) {
                val serializer = DeclarationDocument.serializer()
                val text = Json.encodeToString(serializer, declaration.toDocument())
                assertEquals(
                    declaration,
                    Json.decodeFromString(serializer, text).toDeclaration()
                )
            }
        }

        @Test
        fun `keeps each key`() =
            declarations.forEach { assertEquals(it.key, it.key.toDocument().toKey()) }
    }

    @Nested
    inner class UnknownKeys {
        @Test
        fun `an unknown kind has no key`() =
            assertNull(DeclarationKeyDocument("tenant", "shop").toKey())

        @Test
        fun `a tier needs a number`() {
            assertNull(DeclarationKeyDocument("tier", "chat").toKey())
            val key = DeclarationKeyDocument("tier", "2").toKey()
            assertEquals(DeclarationKey.TierKey(Tier(2)), key)
        }
    }
}
