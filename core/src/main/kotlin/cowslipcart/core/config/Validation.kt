package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierSpec

/**
 * Returns the faults of [configuration], one sentence each with the expected and the actual value;
 * empty if the configuration can be put in force. The replicas and the command-line tool share this
 * function, so that the tool rejects what the replicas would reject.
 */
public fun validate(configuration: Configuration): List<String> {
    val faults = FaultCollector()
    faults.checkAll(configuration.declarations, configuration)
    faults.checkAllUnique(configuration.declarations.values)
    faults.checkPresetInForce(configuration)
    return faults.found
}

/**
 * Returns the faults that [validate] would find in [next], which is the valid configuration
 * [current] with [upserts] and [deletes] applied. Organisations that did not change are not checked
 * again unless a tier is deleted, since they refer to tiers only.
 */
internal fun validateChange(
    current: Configuration,
    next: Configuration,
    upserts: List<Declaration>,
    deletes: List<DeclarationKey>
): List<String> {
    if (deletes.any { it is DeclarationKey.TierKey }) return validate(next)
    val organisations = upserts.filterIsInstance<OrganisationSpec>()
    val faults = FaultCollector()
    faults.checkAll(next.otherDeclarations, next)
    faults.checkAll(organisations.associateBy { it.key }, next)
    faults.checkAllUnique(next.otherDeclarations.values)
    organisations.forEach { faults.checkTokenUnique(it, current, next) }
    faults.checkPresetInForce(next)
    return faults.found
}

/** Returns the name of a declaration for messages, for example `endpoint runner-1`. */
public fun describe(key: DeclarationKey): String = when (key) {
    is DeclarationKey.Organisation -> "organisation ${key.id}"
    is DeclarationKey.TierKey -> "tier ${key.tier}"
    is DeclarationKey.Pool -> "pool ${key.id}"
    is DeclarationKey.Endpoint -> "endpoint ${key.id}"
    is DeclarationKey.Preset -> "preset ${key.name}"
    is DeclarationKey.Drain -> "drain of ${key.endpoint}"
}

private class FaultCollector {
    val found = mutableListOf<String>()

    inline fun check(isMet: Boolean, message: () -> String) {
        if (!isMet) found += message()
    }

    fun checkAll(declarations: Map<DeclarationKey, Declaration>, configuration: Configuration) {
        for ((key, declaration) in declarations) {
            check(key == declaration.key) {
                "${describe(key)}: expected a declaration with this key, found " +
                    describe(declaration.key)
            }
            checkDeclaration(declaration, configuration)
        }
    }

    fun checkPresetInForce(configuration: Configuration) {
        val preset = configuration.presetInForce ?: return
        check(DeclarationKey.Preset(preset) in configuration.declarations) {
            "preset $preset: expected the preset in force to be declared, found no declaration"
        }
    }

    /**
     * Checks that no other organisation has the token of [spec] in [next]: neither one that has it
     * in [current] already nor one that gets it by the same change.
     */
    fun checkTokenUnique(spec: OrganisationSpec, current: Configuration, next: Configuration) {
        val token = spec.tokenSha256
        val holders = listOfNotNull(
            next.organisationsByTokenSha256[token],
            current.organisationsByTokenSha256[token]?.let { next.findOrganisation(it.id) }
        )
        check(holders.none { it.id != spec.id && it.tokenSha256 == token }) {
            "${describe(spec.key)}: tokenSha256: expected a unique value, found it declared before"
        }
    }

    fun checkDeclaration(declaration: Declaration, configuration: Configuration) {
        val name = describe(declaration.key)
        when (declaration) {
            is OrganisationSpec -> checkOrganisation(name, declaration, configuration)

            is TierSpec -> checkTier(name, declaration)

            is PoolSpec -> checkPool(name, declaration, configuration)

            is EndpointSpec -> checkEndpoint(name, declaration, configuration)

            is PresetSpec -> checkPreset(name, declaration, configuration)

            is DrainSpec -> check(
                DeclarationKey.Endpoint(declaration.endpoint) in configuration.declarations
            ) { "$name: expected a declared endpoint, found none named ${declaration.endpoint}" }
        }
    }

    private fun checkOrganisation(
        name: String,
        spec: OrganisationSpec,
        configuration: Configuration
    ) {
        checkName(name, "id", spec.id.value)
        check(SHA256_HEX.matches(spec.tokenSha256)) {
            "$name: expected tokenSha256 as 64 lower-case hex digits, " +
                "found ${spec.tokenSha256.length} characters"
        }
        checkTierDeclared(name, spec.highestTier, configuration)
        checkPositive(name, "weight", spec.weight)
        spec.limitTokensPerS?.let { checkPositive(name, "limitTokensPerS", it.toDouble()) }
    }

    private fun checkTier(name: String, spec: TierSpec) {
        check(spec.tier.rank >= 0) { "$name: expected a rank of at least 0, found ${spec.tier}" }
        checkName(name, "name", spec.name)
        checkPositive(name, "firstTokenTargetMs", spec.firstTokenTargetMs.toDouble())
        checkPositive(name, "tokenGapTargetMs", spec.tokenGapTargetMs.toDouble())
    }

    private fun checkPool(name: String, spec: PoolSpec, configuration: Configuration) {
        checkName(name, "id", spec.id.value)
        checkPositive(name, "shardCount", spec.shardCount.toDouble())
        checkPositive(name, "ordersPerMinute", spec.ordersPerMinute)
        when (val kind = spec.kind) {
            is PoolKind.Model -> checkName(name, "model", kind.model)

            is PoolKind.Service -> {
                check(kind.routes.isNotEmpty()) { "$name: expected at least 1 route, found 0" }
                kind.routes.forEach { checkRoute(name, it, configuration) }
                checkUnique(kind.routes, { "$name: route ${it.method} ${it.path}" }) {
                    "${it.method} ${it.path}"
                }
            }
        }
    }

    private fun checkRoute(name: String, route: RouteSpec, configuration: Configuration) {
        check(METHOD.matches(route.method)) {
            "$name: expected an upper-case HTTP method, found '${route.method}'"
        }
        check(ROUTE_PATH.matches(route.path)) {
            "$name: expected a path that starts with '/' and has '*' only at its end, " +
                "found '${route.path}'"
        }
        checkTierDeclared(name, route.tier, configuration)
    }

    private fun checkEndpoint(name: String, spec: EndpointSpec, configuration: Configuration) {
        checkName(name, "id", spec.id.value)
        checkName(name, "domain", spec.domain.value)
        check(DeclarationKey.Pool(spec.pool) in configuration.declarations) {
            "$name: expected a declared pool, found none named ${spec.pool}"
        }
        check(isNumericAddress(spec.address)) {
            "$name: expected address as IP number and port, found '${spec.address}'"
        }
        checkPositive(name, "slotCount", spec.slotCount.toDouble())
        checkPositive(name, "budgetTokens", spec.budgetTokens.toDouble())
        checkPositive(name, "prefillTokensPerS", spec.prefillTokensPerS)
        checkPositive(name, "decodeTokensPerS", spec.decodeTokensPerS)
        check(spec.cacheTokens >= 0) {
            "$name: expected cacheTokens of at least 0, found ${spec.cacheTokens}"
        }
        spec.desired?.let { checkDesired(name, it, configuration.pools[spec.pool]) }
    }

    /** An engine with a model other than that of its pool would answer with the wrong model. */
    private fun checkDesired(name: String, desired: EngineState, pool: PoolSpec?) {
        val model = (pool?.kind as? PoolKind.Model)?.model
        check(desired.model == model) {
            "$name: expected the desired model to be that of its pool, ${model ?: "none"}, " +
                "found ${desired.model}"
        }
        desired.version?.let { checkName(name, "desired version", it) }
        desired.adapters.forEach { checkName(name, "desired adapter", it) }
    }

    private fun checkPreset(name: String, spec: PresetSpec, configuration: Configuration) {
        checkName(name, "name", spec.name.value)
        check(spec.reservedShare in 0.0..1.0) {
            "$name: expected reservedShare from 0.0 to 1.0, found ${spec.reservedShare}"
        }
        for ((tier, policy) in spec.tiers) {
            checkTierDeclared(name, tier, configuration)
            check(policy.limitScale >= 0 && policy.limitScale.isFinite()) {
                "$name: expected limitScale of at least 0, found ${policy.limitScale}"
            }
            check(policy.maxQueuedPerShard >= 0) {
                "$name: expected maxQueuedPerShard of at least 0, found ${policy.maxQueuedPerShard}"
            }
        }
    }

    fun checkAllUnique(declarations: Collection<Declaration>) {
        checkUnique(declarations.filterIsInstance<OrganisationSpec>(), {
            "${describe(it.key)}: tokenSha256"
        }) { it.tokenSha256 }
        checkUnique(declarations.filterIsInstance<EndpointSpec>(), {
            "${describe(it.key)}: address ${it.address}"
        }) { it.address }
        checkUnique(declarations.filterIsInstance<TierSpec>(), {
            "${describe(it.key)}: name ${it.name}"
        }) { it.name }
        val modelPools = declarations.filterIsInstance<PoolSpec>().filter {
            it.kind is PoolKind.Model
        }
        checkUnique(modelPools, { "${describe(it.key)}: model" }) {
            (it.kind as PoolKind.Model).model
        }
    }

    private fun <T> checkUnique(items: List<T>, describeItem: (T) -> String, value: (T) -> String) {
        val seen = mutableSetOf<String>()
        for (item in items) {
            check(seen.add(value(item))) {
                "${describeItem(item)}: expected a unique value, found it declared before"
            }
        }
    }

    private fun checkTierDeclared(name: String, tier: Tier, configuration: Configuration) =
        check(DeclarationKey.TierKey(tier) in configuration.declarations) {
            "$name: expected a declared tier, found none with rank $tier"
        }

    private fun checkPositive(name: String, field: String, value: Double) =
        check(value > 0 && value.isFinite()) {
            "$name: expected a positive $field, found $value"
        }

    private fun checkName(name: String, field: String, value: String) =
        check(value.isNotBlank()) { "$name: expected a $field, found a blank text" }
}

private fun isNumericAddress(address: String): Boolean {
    val port = address.substringAfterLast(':', "").toIntOrNull()
    if (port == null || port !in 1..MAX_PORT) return false
    val host = address.substringBeforeLast(':')
    val isBracketed = host.startsWith("[") && host.endsWith("]")
    if (isBracketed) return IPV6.matches(host.substring(1, host.length - 1))
    val parts = host.split('.')
    return parts.size == IPV4_PARTS && parts.all { it.toIntOrNull() in 0..MAX_IPV4_PART }
}

private const val MAX_PORT = 65_535
private const val IPV4_PARTS = 4
private const val MAX_IPV4_PART = 255
private val IPV6 = Regex("[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
private val SHA256_HEX = Regex("[0-9a-f]{64}")
private val METHOD = Regex("[A-Z]+")
private val ROUTE_PATH = Regex("/[^*\\s]*\\*?")
