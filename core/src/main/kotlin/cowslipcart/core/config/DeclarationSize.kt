package cowslipcart.core.config

import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.TierSpec

/** Estimates the bytes that [declaration] takes in a message or record; usually too high. */
internal fun estimateSizeBytes(declaration: Declaration): Int = when (declaration) {
    is OrganisationSpec ->
        BASE_BYTES + textBytes(declaration.id.value) + textBytes(declaration.tokenSha256)

    is TierSpec -> BASE_BYTES + textBytes(declaration.name)

    is PoolSpec -> BASE_BYTES + textBytes(declaration.id.value) + kindBytes(declaration.kind)

    is EndpointSpec ->
        BASE_BYTES +
            textBytes(declaration.id.value) +
            textBytes(declaration.pool.value) +
            textBytes(declaration.address) +
            textBytes(declaration.domain.value) +
            (
                declaration.desired?.let { desired ->
                    textBytes(desired.model) + textBytes(desired.version.orEmpty()) +
                        desired.adapters.sumOf { textBytes(it) }
                } ?: 0
                )

    is PresetSpec ->
        BASE_BYTES + textBytes(declaration.name.value) + declaration.tiers.size * ITEM_BYTES

    is DrainSpec -> BASE_BYTES + textBytes(declaration.endpoint.value)
}

private fun kindBytes(kind: PoolKind) = when (kind) {
    is PoolKind.Model -> textBytes(kind.model)

    is PoolKind.Service ->
        kind.routes.sumOf { ITEM_BYTES + textBytes(it.method) + textBytes(it.path) }
}

/** Counts 1 byte for each ASCII character, as in most names, and 3 bytes for all others. */
private fun textBytes(text: String) =
    TEXT_HEADER_BYTES + text.sumOf { char -> if (char.code < ASCII_END) 1 else NON_ASCII_BYTES }

private const val TEXT_HEADER_BYTES = 3
private const val ASCII_END = 0x80
private const val NON_ASCII_BYTES = 3
private const val BASE_BYTES = 128
private const val ITEM_BYTES = 32
