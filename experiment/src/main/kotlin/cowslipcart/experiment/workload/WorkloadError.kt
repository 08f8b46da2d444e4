package cowslipcart.experiment.workload

/** Why a workload file was rejected. */
public sealed interface WorkloadError {
    /** The file is not valid YAML of the documented format. [line] counts from 1. */
    public data class Malformed(public val line: Int, public val detail: String) : WorkloadError

    /** A value is outside its range. */
    public data class Invalid(
        public val field: String,
        public val expected: String,
        public val actual: String
    ) : WorkloadError
}
