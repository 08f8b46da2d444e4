package cowslipcart.cli

import arrow.core.getOrElse
import cowslipcart.core.config.validate
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.Revision
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against files that are misread and faults that are reported at the wrong place. */
class DeclarationsTest {
    private fun faultsOf(vararg texts: String): List<String> {
        val files = texts.withIndex().associate { (index, text) -> "file$index.yaml" to text }
        return Declarations.parse(files).fold({ faults ->
            faults.map { it.toString() }
        }, { listOf() })
    }

    private fun assertFault(expected: String, vararg texts: String) =
        assertEquals(listOf(expected), faultsOf(*texts))

    private val organisation = """
        organisations:
          - id: shop
            tokenSha256: ab
            highestTier: 0
            weight: 1.5
    """.trimIndent()

    @Test
    fun `reads a declaration`() {
        val declarations = Declarations.parse(mapOf("a.yaml" to organisation)).getOrElse {
            listOf()
        }
        assertEquals(1.5, (declarations.single() as OrganisationSpec).weight)
    }

    @Test
    fun `accepts an empty file`() = assertEquals(listOf(), faultsOf("# nothing yet\n"))

    @Nested
    inner class Faults {
        @Test
        fun `names an unknown field and the known ones`() = assertFault(
            "file0.yaml:6: organisations[0].wieght: expected one of [highestTier, id, " +
                "limitTokensPerS, tokenSha256, weight], found 'wieght'",
            "$organisation\n    wieght: 2"
        )

        @Test
        fun `names a missing field`() = assertFault(
            "file0.yaml:2: tiers[0].tokenGapTargetMs: expected a value, found none",
            "tiers:\n  - rank: 0\n    name: chat\n    firstTokenTargetMs: 930"
        )

        @Test
        fun `names a value of the wrong type`() = assertFault(
            "file0.yaml:5: organisations[0].weight: expected a floating point value, found 'much'",
            organisation.replace("1.5", "much")
        )

        @Test
        fun `names an unknown kind`() = assertFault(
            "file0.yaml:1: customers: expected one of [tiers, organisations, pools, endpoints, " +
                "presets], found 'customers'",
            "customers: []"
        )

        @Test
        fun `names a kind that is no list`() =
            assertFault("file0.yaml:1: pools: expected a list of pools", "pools: drafts")

        @Test
        fun `names the line of a syntax error`() {
            assertTrue(faultsOf("tiers: [").single().startsWith("file0.yaml:"))
        }

        @Test
        fun `finds a declaration that another file repeats`() = assertFault(
            "file1.yaml:2: organisations[0]: expected organisation shop once, " +
                "found it before at file0.yaml:2",
            organisation,
            organisation
        )

        @Test
        fun `finds a pool with both a model and routes`() = assertFault(
            "file0.yaml:2: pools[0]: expected exactly one of 'model' and 'routes'",
            "pools:\n  - id: drafts\n    model: fitting\n    routes: []"
        )

        @Test
        fun `finds a tier that a preset names twice`() = assertFault(
            "file0.yaml:2: presets[0]: expected rank 0 once in 'tiers', found it 2 times",
            "presets:\n  - name: peak\n    tiers: [{rank: 0, maxQueuedPerShard: 1}, " +
                "{rank: 0, maxQueuedPerShard: 2}]"
        )

        @Test
        fun `reports the faults of all declarations at once`() =
            assertEquals(6, faultsOf("tiers:\n  - rank: 0\n  - rank: 1").size)
    }

    @Nested
    inner class DesiredStates {
        @Test
        fun `a desired state is read with its role and adapters`() {
            val yaml = "endpoints:\n  - {id: r, pool: p, address: '127.0.0.1:1', domain: d, " +
                "slotCount: 1, budgetTokens: 1, prefillTokensPerS: 1, decodeTokensPerS: 1, " +
                "desired: {model: fitting, version: v2, adapters: [a, b], role: prefill}}"

            val endpoint = Declarations.parse(mapOf("file" to yaml)).getOrNull()?.single()

            assertEquals(
                EngineState("fitting", "v2", setOf("a", "b"), EngineRole.PREFILL),
                (endpoint as? EndpointSpec)?.desired
            )
        }
    }

    @Nested
    inner class Samples {
        @Test
        fun `playsafe is valid`() = assertValid("playsafe", endpointCount = 11)

        @Test
        fun `hamasaki is valid`() = assertValid("hamasaki", endpointCount = 15)

        private fun assertValid(name: String, endpointCount: Int) {
            val files = File("../declarations/$name").listFiles().orEmpty()
            val declarations = Declarations.parse(files.associate { it.name to it.readText() })
                .getOrElse { throw AssertionError(it.toString()) }
            val configuration =
                Configuration(Revision(1), declarations.associateBy { it.key }, null)
            assertEquals(emptyList(), validate(configuration))
            assertEquals(endpointCount, configuration.endpoints.size)
        }
    }
}
