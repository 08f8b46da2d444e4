package cowslipcart.core.model

/**
 * Declarations of one configuration and the lookups that are derived from them. A changed copy
 * recomputes only the lookups that the change affects: there are many organisations, which change
 * often, and few other declarations.
 */
internal class DeclarationSet private constructor(
    private val organisations: PersistentMap<DeclarationKey, Declaration>,
    val others: OtherDeclarations,
    val organisationsByToken: PersistentMap<String, OrganisationSpec>,
    val organisationWeights: PersistentMap<OrganisationId, Double>
) : AbstractMap<DeclarationKey, Declaration>() {
    override val size: Int get() = organisations.size + others.byKey.size

    override fun get(key: DeclarationKey): Declaration? = when (key) {
        is DeclarationKey.Organisation -> organisations[key]
        else -> others.byKey[key]
    }

    override fun containsKey(key: DeclarationKey): Boolean = get(key) != null

    override val entries: Set<Map.Entry<DeclarationKey, Declaration>> =
        object : AbstractSet<Map.Entry<DeclarationKey, Declaration>>() {
            override val size: Int get() = this@DeclarationSet.size

            override fun iterator(): Iterator<Map.Entry<DeclarationKey, Declaration>> =
                (others.byKey.entries.asSequence() + organisations.entries.asSequence()).iterator()
        }

    /** Returns a copy that first removes [deletes] and then adds or replaces [upserts]. */
    fun withChanges(upserts: List<Declaration>, deletes: List<DeclarationKey>): DeclarationSet {
        val (deletedOrganisations, deletedOthers) =
            deletes.partition { it is DeclarationKey.Organisation }
        val changedOrganisations = upserts.filterIsInstance<OrganisationSpec>()
        val changedOthers = upserts.filter { it !is OrganisationSpec }
        val replaced = (deletedOrganisations + changedOrganisations.map { it.key }).distinct()
            .mapNotNull { organisations[it] as? OrganisationSpec }
        val tokenHolders = replaced.filter { organisationsByToken[it.tokenSha256]?.id == it.id }
        return DeclarationSet(
            organisations.withChanges(
                deletedOrganisations,
                changedOrganisations.associateBy { it.key }
            ),
            others.withChanges(changedOthers, deletedOthers),
            organisationsByToken.withChanges(
                tokenHolders.map { it.tokenSha256 },
                changedOrganisations.associateBy { it.tokenSha256 }
            ),
            organisationWeights.withChanges(
                replaced.map { it.id },
                changedOrganisations.associate { it.id to it.weight }
            )
        )
    }

    companion object {
        /** Builds the lookups of [declarations]; a [DeclarationSet] is returned as it is. */
        fun of(declarations: Map<DeclarationKey, Declaration>): DeclarationSet {
            if (declarations is DeclarationSet) return declarations
            val (organisations, others) =
                declarations.entries.partition { it.value is OrganisationSpec }
            val specs = organisations.map { it.value as OrganisationSpec }
            return DeclarationSet(
                PersistentMap.of(organisations.associate { it.key to it.value }),
                OtherDeclarations(others.associate { it.key to it.value }),
                PersistentMap.of(specs.associateBy { it.tokenSha256 }),
                PersistentMap.of(specs.associate { it.id to it.weight })
            )
        }
    }
}

/** All declarations except organisations: some hundred at the planned size of the system. */
internal class OtherDeclarations(val byKey: Map<DeclarationKey, Declaration>) {
    val pools: Map<PoolId, PoolSpec> = select<PoolSpec>().associateBy { it.id }
    val endpoints: List<EndpointSpec> = select<EndpointSpec>().sortedBy { it.id }
    val tiers: Map<Tier, TierSpec> = select<TierSpec>().associateBy { it.tier }
    val drainedEndpoints: Set<EndpointId> =
        select<DrainSpec>().mapTo(mutableSetOf()) { it.endpoint }

    fun withChanges(upserts: List<Declaration>, deletes: List<DeclarationKey>): OtherDeclarations =
        if (upserts.isEmpty() && deletes.isEmpty()) {
            this
        } else {
            OtherDeclarations(byKey - deletes.toSet() + upserts.associateBy { it.key })
        }

    private inline fun <reified T : Declaration> select(): List<T> =
        byKey.values.filterIsInstance<T>()
}
