package cowslipcart.cli

/** Failure of a command. */
internal sealed interface CliError {
    /** One line for each fault, for people. */
    val lines: List<String>

    /** See [ExitStatus]. */
    val exitStatus: Int

    /** Another change made the revision after the base revision. */
    data class Conflict(val winnerAuthor: String, val currentRevision: Long) : CliError {
        override val lines = listOf(
            "conflict: $winnerAuthor changed the configuration first, it is now at revision " +
                "$currentRevision; run plan again"
        )
        override val exitStatus = ExitStatus.REFUSED
    }

    /** The daemon refused the call. */
    data class Refused(override val lines: List<String>) : CliError {
        override val exitStatus = ExitStatus.REFUSED
    }

    /** The input is wrong. */
    data class WrongInput(override val lines: List<String>) : CliError {
        override val exitStatus = ExitStatus.WRONG_INPUT
    }

    /** There was no answer, or none that could be read. */
    data class Unreachable(val detail: String) : CliError {
        override val lines = listOf(detail)
        override val exitStatus = ExitStatus.UNREACHABLE
    }
}
