package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision

/** A record of the stream `config`. */
public sealed interface ConfigEntry {
    /** Changes declarations. Valid only if [baseRevision] is the revision at its place in the log. */
    public data class Publish(
        public val baseRevision: Revision,
        public val upserts: List<Declaration>,
        public val deletes: List<DeclarationKey>,
        public val author: String
    ) : ConfigEntry

    /** Puts a declared preset in force. Valid under the same rule as [Publish]. */
    public data class SwitchPreset(
        public val baseRevision: Revision,
        public val preset: PresetName,
        public val author: String
    ) : ConfigEntry

    /** Whole state before [throughOffset]. Valid only if [throughOffset] is its own offset. */
    public data class Checkpoint(
        public val throughOffset: LogOffset,
        public val configuration: Configuration
    ) : ConfigEntry
}

/**
 * A [ConfigEntry] with its place in the log.
 *
 * @property entry null if the bytes are not a record of any version; every host skips it alike
 */
public data class ConfigRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val entry: ConfigEntry?
)

/**
 * Configuration as of a place in the log.
 *
 * @property nextOffset offset of the first record that is not applied
 */
public data class ConfigState(
    public val nextOffset: LogOffset,
    public val configuration: Configuration
)

/** What became of one record. */
public sealed interface ConfigVerdict {
    /** Offset of the record. */
    public val offset: LogOffset

    /** The record is in force and made [revision]. */
    public data class Accepted(
        override val offset: LogOffset,
        public val revision: Revision,
        public val author: String
    ) : ConfigVerdict

    /**
     * The record lost against an earlier one on the same base revision.
     *
     * @property winnerAuthor author of the accepted record that made the revision after the base
     */
    public data class Conflict(
        override val offset: LogOffset,
        public val baseRevision: Revision,
        public val currentRevision: Revision,
        public val winnerAuthor: String
    ) : ConfigVerdict

    /** The record cannot be applied, for example a switch to a preset that is not declared. */
    public data class Invalid(override val offset: LogOffset, public val faults: List<String>) :
        ConfigVerdict

    /** A checkpoint; it does not change the state of a replica that has one. */
    public data class CheckpointSeen(override val offset: LogOffset, public val isValid: Boolean) :
        ConfigVerdict
}
