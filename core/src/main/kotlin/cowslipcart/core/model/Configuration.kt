package cowslipcart.core.model

/**
 * Configuration at one revision. Immutable, so that traffic threads can read a published copy.
 *
 * @property presetInForce null until the first switch is accepted
 */
public data class Configuration(
    public val revision: Revision,
    public val declarations: Map<DeclarationKey, Declaration>,
    public val presetInForce: PresetName?
) {
    /** Organisations by the hash of their bearer token. */
    public val organisationsByTokenSha256: Map<String, OrganisationSpec> =
        select<OrganisationSpec>().associateBy { it.tokenSha256 }

    /** Pools by id. */
    public val pools: Map<PoolId, PoolSpec> = select<PoolSpec>().associateBy { it.id }

    /** Endpoints in the order of their ids. */
    public val endpoints: List<EndpointSpec> = select<EndpointSpec>().sortedBy { it.id }

    /** Tiers by rank. */
    public val tiers: Map<Tier, TierSpec> = select<TierSpec>().associateBy { it.tier }

    /** Endpoints that an operator has drained. */
    public val drainedEndpoints: Set<EndpointId> =
        select<DrainSpec>().mapTo(mutableSetOf()) { it.endpoint }

    /** Weight of each organisation. */
    public val organisationWeights: Map<OrganisationId, Double> =
        select<OrganisationSpec>().associate { it.id to it.weight }

    /** The preset in force, or null before the first switch. */
    public val preset: PresetSpec?
        get() = presetInForce?.let { declarations[DeclarationKey.Preset(it)] as? PresetSpec }

    /** Returns the organisation with this id, or null if none is declared. */
    public fun findOrganisation(id: OrganisationId): OrganisationSpec? =
        declarations[DeclarationKey.Organisation(id)] as? OrganisationSpec

    /** Returns the endpoint with this id, or null if none is declared. */
    public fun findEndpoint(id: EndpointId): EndpointSpec? =
        declarations[DeclarationKey.Endpoint(id)] as? EndpointSpec

    /** Returns the pool whose endpoints serve [model], or null if none does. */
    public fun findModelPool(model: String): PoolSpec? =
        pools.values.firstOrNull { (it.kind as? PoolKind.Model)?.model == model }

    private inline fun <reified T : Declaration> select(): List<T> =
        declarations.values.filterIsInstance<T>()

    public companion object {
        /** Configuration before the first record. */
        public val EMPTY: Configuration = Configuration(Revision(0), emptyMap(), null)
    }
}
