package cowslipcart.core.model

/**
 * Configuration at one revision. It is immutable, so that traffic threads can read it without locks
 * once it is published.
 *
 * @property presetInForce name of the preset in force; null until the first switch is accepted
 */
public data class Configuration(
    public val revision: Revision,
    public val declarations: Map<DeclarationKey, Declaration>,
    public val presetInForce: PresetName?
) {
    /** The declarations with their lookups, shared by all copies with the same declarations. */
    private val indexed = DeclarationSet.of(declarations)

    /** Organisations by the SHA-256 of their bearer token. */
    public val organisationsByTokenSha256: Map<String, OrganisationSpec>
        get() = indexed.organisationsByToken

    /** Pools by id. */
    public val pools: Map<PoolId, PoolSpec> get() = indexed.others.pools

    /** Endpoints, sorted by id. */
    public val endpoints: List<EndpointSpec> get() = indexed.others.endpoints

    /** Tiers by rank. */
    public val tiers: Map<Tier, TierSpec> get() = indexed.others.tiers

    /** Endpoints that an operator has drained. */
    public val drainedEndpoints: Set<EndpointId> get() = indexed.others.drainedEndpoints

    /** Weight of each organisation. */
    public val organisationWeights: Map<OrganisationId, Double>
        get() = indexed.organisationWeights

    /** All declarations except organisations. */
    internal val otherDeclarations: Map<DeclarationKey, Declaration> get() = indexed.others.byKey

    /** Declaration of the preset in force; null before the first switch. */
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

    /** Returns the next revision: removes [deletes], then adds or replaces [upserts]. */
    internal fun withChanges(
        upserts: List<Declaration>,
        deletes: List<DeclarationKey>
    ): Configuration =
        copy(revision = revision.next(), declarations = indexed.withChanges(upserts, deletes))

    /** Returns the next revision, with [preset] in force; does not check that it is declared. */
    internal fun withPreset(preset: PresetName): Configuration =
        copy(revision = revision.next(), declarations = indexed, presetInForce = preset)

    public companion object {
        /** Configuration before the first record of the log. */
        public val EMPTY: Configuration = Configuration(Revision(0), emptyMap(), null)
    }
}
