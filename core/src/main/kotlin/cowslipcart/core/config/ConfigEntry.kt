package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision

/** A record of the stream `config`. */
public sealed interface ConfigEntry {
    /**
     * Adds, replaces and deletes declarations. Valid only if [baseRevision] is the revision in
     * force at the offset of the record.
     */
    public data class Publish(
        public val baseRevision: Revision,
        public val upserts: List<Declaration>,
        public val deletes: List<DeclarationKey>,
        public val author: String
    ) : ConfigEntry

    /** Puts a declared preset in force. Valid under the same condition as [Publish]. */
    public data class SwitchPreset(
        public val baseRevision: Revision,
        public val preset: PresetName,
        public val author: String
    ) : ConfigEntry

    /**
     * Snapshot of the configuration after all records before [throughOffset]. Valid only if
     * [throughOffset] is the offset of the checkpoint itself, as then no record came in between.
     */
    public data class Checkpoint(
        public val throughOffset: LogOffset,
        public val configuration: Configuration
    ) : ConfigEntry
}

/**
 * A [ConfigEntry] and its position in the log.
 *
 * @property appendedAtMs time of the append by the clock of the log
 * @property entry null if the record cannot be decoded; every host skips such a record
 */
public data class ConfigRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val entry: ConfigEntry?
)

/**
 * Configuration as of a position in the log.
 *
 * @property nextOffset offset of the first record that is not included
 */
public data class ConfigState(
    public val nextOffset: LogOffset,
    public val configuration: Configuration
)

/** Outcome of applying one record. */
public sealed interface ConfigVerdict {
    /** Offset of the record. */
    public val offset: LogOffset

    /** The record was applied and made [revision]. */
    public data class Accepted(
        override val offset: LogOffset,
        public val revision: Revision,
        public val author: String
    ) : ConfigVerdict

    /**
     * The base revision of the record was outdated: an earlier record on it had been accepted.
     *
     * @property winnerAuthor author of the record that was accepted on the same base revision
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

    /**
     * The record is a checkpoint. It does not change a replica that has all records before it.
     *
     * @property isValid whether a replica without these records may start from it
     */
    public data class Checkpoint(override val offset: LogOffset, public val isValid: Boolean) :
        ConfigVerdict
}
