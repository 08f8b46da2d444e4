package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against an incremental change whose lookups or faults differ from those of the same
 * configuration built and validated from scratch.
 */
class ApplyChangesTest {
    @Nested
    inner class Publications {
        @Test
        fun `a change gives the same result as building and validating the whole configuration`() {
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                var current = configurationOf(chatTier, draftsPool, ordinary, runner)
                repeat(CHANGES_PER_SEED) {
                    val entry = randomEntry(random, current)
                    val change = applyChanges(current, entry)
                    val whole = current.declarations - entry.deletes.toSet() +
                        entry.upserts.associateBy { it.key }
                    assertSameContent(
                        Configuration(change.configuration.revision, whole, null),
                        change,
                        seed
                    )
                    if (change.faults.isEmpty()) current = change.configuration
                }
            }
        }

        @Test
        fun `two organisations may swap their tokens only in one change`() {
            val other = sampleOrganisation("other", 'b')
            val current = configurationOf(chatTier, shop, other)
            val swapped = listOf(
                shop.copy(tokenSha256 = other.tokenSha256),
                other.copy(tokenSha256 = shop.tokenSha256)
            )

            assertEquals(emptyList(), applyChanges(current, publishOf(swapped)).faults)
            assertEquals(1, applyChanges(current, publishOf(swapped.take(1))).faults.size)
        }
    }

    @Nested
    inner class Sharing {
        private val current = configurationOf(chatTier, draftsPool, ordinary, runner, shop)

        @Test
        fun `a change of an organisation shares the lookups of endpoints and tiers`() {
            val next = applyChanges(
                current,
                publishOf(listOf(shop.copy(weight = 2.0)))
            ).configuration

            assertSame(current.endpoints, next.endpoints)
            assertSame(current.tiers, next.tiers)
        }

        @Test
        fun `a switch of the preset shares all lookups`() {
            val next = current.withPreset(ordinary.name)

            assertSame(current.organisationsByTokenSha256, next.organisationsByTokenSha256)
            assertSame(current.organisationWeights, next.organisationWeights)
            assertSame(current.endpoints, next.endpoints)
        }
    }

    private fun assertSameContent(whole: Configuration, change: ChangeResult, seed: Int) {
        val found = change.configuration
        assertEquals(whole.declarations, found.declarations, "seed $seed")
        assertEquals(validate(whole).isEmpty(), change.faults.isEmpty(), "seed $seed: $change")
        if (change.faults.isNotEmpty()) return
        assertEquals(whole.organisationsByTokenSha256, found.organisationsByTokenSha256)
        assertEquals(whole.organisationWeights, found.organisationWeights)
        assertEquals(whole.endpoints, found.endpoints)
        assertTrue(whole.declarations.all { (key, value) -> found.declarations[key] == value })
    }

    private fun randomEntry(random: Random, current: Configuration): ConfigEntry.Publish {
        val upserts = List(random.nextInt(4)) { randomDeclaration(random) }.distinctBy { it.key }
        val deletes = List(random.nextInt(2)) { current.declarations.keys.random(random) }
        val keys = upserts.mapTo(mutableSetOf()) { it.key }
        return ConfigEntry.Publish(Revision(0), upserts, deletes - keys, "mari")
    }

    private fun randomDeclaration(random: Random): Declaration = when (random.nextInt(12)) {
        0 -> chatTier

        1 -> runner.copy(slotCount = random.nextInt(3))

        2 -> DrainSpec(EndpointId("runner-${random.nextInt(2)}"))

        else -> OrganisationSpec(
            OrganisationId("organisation-${random.nextInt(200)}"),
            "%064x".format(random.nextInt(400)),
            Tier(0),
            weight = random.nextInt(20).toDouble(),
            limitTokensPerS = null
        )
    }

    private fun publishOf(upserts: List<Declaration>) =
        ConfigEntry.Publish(Revision(1), upserts, emptyList<DeclarationKey>(), "mari")

    private companion object {
        const val SEEDS = 20
        const val CHANGES_PER_SEED = 100
    }
}
