package cowslipcart.core.config

import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against declarations that take effect although a daemon cannot act on them. */
class ValidationTest {
    private val valid = arrayOf(chatTier, draftsPool, runner, ordinary, shop)

    private fun assertFault(expected: String, vararg changed: Declaration) {
        val faults = validate(configurationOf(*valid, *changed))
        assertTrue(faults.any { expected in it }, "expected a fault with '$expected', got $faults")
    }

    @Test
    fun `accepts declarations whose references exist`() {
        assertEquals(emptyList(), validate(configurationOf(*valid)))
    }

    @Nested
    inner class References {
        @Test
        fun `finds an endpoint of an undeclared pool`() =
            assertFault("none named chats", runner.copy(pool = PoolId("chats")))

        @Test
        fun `finds a desired model that the pool does not serve`() = assertFault(
            "desired model to be that of its pool, fitting, found drawing",
            runner.copy(desired = EngineState("drawing"))
        )

        @Test
        fun `finds an organisation with an undeclared tier`() =
            assertFault("none with rank 7", shop.copy(highestTier = Tier(7)))

        @Test
        fun `finds a preset for an undeclared tier`() =
            assertFault("none with rank 7", ordinary.copy(tiers = mapOf(Tier(7) to policy())))

        @Test
        fun `finds a route with an undeclared tier`() = assertFault(
            "none with rank 7",
            draftsPool.copy(
                kind = PoolKind.Service(listOf(RouteSpec("GET", "/stock", true, Tier(7))))
            )
        )

        @Test
        fun `finds a drain of an undeclared endpoint`() =
            assertFault("none named runner-9", DrainSpec(EndpointId("runner-9")))

        @Test
        fun `finds that the preset in force is not declared`() {
            val faults = validate(configurationOf().copy(presetInForce = PresetName("peak")))
            assertEquals(1, faults.size)
        }
    }

    @Nested
    inner class Values {
        @Test
        fun `finds a weight of zero`() =
            assertFault("positive weight, found 0.0", shop.copy(weight = 0.0))

        @Test
        fun `finds a token hash that is not SHA-256`() =
            assertFault("tokenSha256", shop.copy(tokenSha256 = "secret"))

        @Test
        fun `finds an address with a host name`() =
            assertFault("'localhost:81'", runner.copy(address = "localhost:81"))

        @Test
        fun `accepts a bracketed IPv6 address`() = assertEquals(
            emptyList(),
            validate(configurationOf(*valid, runner.copy(address = "[::1]:8101")))
        )

        @Test
        fun `finds a reserved share above one`() =
            assertFault("from 0.0 to 1.0", ordinary.copy(reservedShare = 1.5))

        @Test
        fun `finds a negative limit scale`() = assertFault(
            "limitScale of at least 0",
            ordinary.copy(tiers = mapOf(Tier(0) to policy().copy(limitScale = -1.0)))
        )
    }

    @Nested
    inner class Uniqueness {
        @Test
        fun `finds two organisations with one token`() =
            assertFault("tokenSha256: expected a unique", sampleOrganisation("club", 'a'))

        @Test
        fun `finds two endpoints with one address`() =
            assertFault("expected a unique", runner.copy(id = EndpointId("runner-2")))

        @Test
        fun `finds two pools with one model`() =
            assertFault("model: expected a unique", draftsPool.copy(id = PoolId("other")))
    }

    private fun policy() = TierPolicy(1.0, 10)
}
