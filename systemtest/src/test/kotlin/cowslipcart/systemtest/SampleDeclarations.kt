package cowslipcart.systemtest

import cowslipcart.wire.admin.DeclarationDocument
import cowslipcart.wire.admin.EndpointDocument
import cowslipcart.wire.admin.OrganisationDocument
import cowslipcart.wire.admin.PoolDocument
import cowslipcart.wire.admin.PresetDocument
import cowslipcart.wire.admin.RouteDocument
import cowslipcart.wire.admin.TierDocument
import cowslipcart.wire.admin.TierPolicyDocument
import java.security.MessageDigest

/** Declarations that each [Cluster] publishes at its start. */
internal object SampleDeclarations {
    const val MODEL = "inspection-notes"

    /** API token of an organisation that may use all tiers. */
    const val PARKS_TOKEN = "system-test-token-parks"

    /** API token of an organisation that may use the lowest tier only. */
    const val TAGGING_TOKEN = "system-test-token-tagging"

    const val TOP_TIER = "0"
    const val LOW_TIER = "2"

    fun build(
        engineAddresses: List<String>,
        serviceAddresses: List<String>,
        engineSlots: Int
    ): List<DeclarationDocument> = tiers() + organisations() + pools() + presets() +
        engineAddresses.mapIndexed { index, address -> engine(index, address, engineSlots) } +
        serviceAddresses.mapIndexed { index, address -> service(index, address) }

    private fun tiers() = listOf(
        TierDocument(0, "on-site-answers", 930, 67),
        TierDocument(1, "reports", 10_000, 200),
        TierDocument(2, "photo-tagging", 600_000, 1_000)
    )

    private fun organisations() = listOf(
        OrganisationDocument("parks", sha256(PARKS_TOKEN), highestTier = 0, weight = 1.0),
        OrganisationDocument("tagging", sha256(TAGGING_TOKEN), highestTier = 2, weight = 1.0)
    )

    private fun pools() = listOf(
        PoolDocument("inspection", model = MODEL),
        PoolDocument(
            "records",
            routes = listOf(
                RouteDocument("POST", "/sign-offs", repeatable = false, tier = 0),
                RouteDocument("GET", "/stock/*", repeatable = true, tier = 0)
            )
        )
    )

    private fun presets() = listOf("ordinary", "peak").map { name ->
        val policies = (0..2).map { TierPolicyDocument(it, maxQueuedPerShard = 400) }
        PresetDocument(name, policies)
    }

    private fun engine(index: Int, address: String, slotCount: Int) = EndpointDocument(
        id = "inspection-${index + 1}",
        pool = "inspection",
        address = address,
        domain = "domain-a",
        slotCount = slotCount,
        budgetTokens = 128_000,
        prefillTokensPerS = 10_000.0,
        decodeTokensPerS = 50.0,
        cacheTokens = 200_000,
        canResume = true
    )

    private fun service(index: Int, address: String) = EndpointDocument(
        id = "records-${index + 1}",
        pool = "records",
        address = address,
        domain = "domain-a",
        slotCount = 64,
        budgetTokens = 64_000,
        prefillTokensPerS = 10_000.0,
        decodeTokensPerS = 100.0
    )

    private fun sha256(text: String) = MessageDigest.getInstance("SHA-256")
        .digest(text.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }
}
