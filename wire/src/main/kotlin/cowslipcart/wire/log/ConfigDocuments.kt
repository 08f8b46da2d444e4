package cowslipcart.wire.log

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigState
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.wire.admin.DeclarationDocument
import cowslipcart.wire.admin.DeclarationKeyDocument
import cowslipcart.wire.admin.toDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [Configuration]. */
@Serializable
internal class ConfigurationDocument(
    @SerialName("r") val revision: Long,
    @SerialName("d") val declarations: List<DeclarationDocument>,
    @SerialName("p") val presetInForce: String? = null
) {
    fun toConfiguration() = Configuration(
        Revision(revision),
        declarations.map { it.toDeclaration() }.associateBy { it.key },
        presetInForce?.let { PresetName(it) }
    )
}

internal fun Configuration.toDocument() = ConfigurationDocument(
    revision.value,
    declarations.values.map { it.toDocument() },
    presetInForce?.value
)

/** Wire form of a [ConfigState]. */
@Serializable
internal class ConfigStateDocument(
    @SerialName("o") val nextOffset: Long,
    @SerialName("c") val configuration: ConfigurationDocument
) {
    fun toState() = ConfigState(LogOffset(nextOffset), configuration.toConfiguration())
}

internal fun ConfigState.toDocument() =
    ConfigStateDocument(nextOffset.value, configuration.toDocument())

/** Wire form of a [ConfigEntry]. */
@Serializable
internal sealed interface ConfigEntryDocument {
    fun toEntry(): ConfigEntry

    @Serializable
    @SerialName("publish")
    class Publish(
        @SerialName("b") val baseRevision: Long,
        @SerialName("u") val upserts: List<DeclarationDocument>,
        @SerialName("d") val deletes: List<DeclarationKeyDocument>,
        @SerialName("a") val author: String
    ) : ConfigEntryDocument {
        override fun toEntry() = ConfigEntry.Publish(
            Revision(baseRevision),
            upserts.map { it.toDeclaration() },
            deletes.mapNotNull { it.toKey() },
            author
        )
    }

    @Serializable
    @SerialName("switch")
    class Switch(
        @SerialName("b") val baseRevision: Long,
        @SerialName("p") val preset: String,
        @SerialName("a") val author: String
    ) : ConfigEntryDocument {
        override fun toEntry() =
            ConfigEntry.SwitchPreset(Revision(baseRevision), PresetName(preset), author)
    }

    @Serializable
    @SerialName("checkpoint")
    class Checkpoint(
        @SerialName("t") val throughOffset: Long,
        @SerialName("c") val configuration: ConfigurationDocument
    ) : ConfigEntryDocument {
        override fun toEntry() =
            ConfigEntry.Checkpoint(LogOffset(throughOffset), configuration.toConfiguration())
    }
}

internal fun ConfigEntry.toDocument(): ConfigEntryDocument = when (this) {
    is ConfigEntry.Publish -> ConfigEntryDocument.Publish(
        baseRevision.value,
        upserts.map { it.toDocument() },
        deletes.map { it.toDocument() },
        author
    )

    is ConfigEntry.SwitchPreset ->
        ConfigEntryDocument.Switch(baseRevision.value, preset.value, author)

    is ConfigEntry.Checkpoint ->
        ConfigEntryDocument.Checkpoint(throughOffset.value, configuration.toDocument())
}
