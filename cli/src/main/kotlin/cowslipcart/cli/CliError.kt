package cowslipcart.cli

/** Failure of a command. */
internal sealed interface CliError {
    /** Human-readable text, one line per fault. */
    val lines: List<String>

    /** See [ExitStatus]. */
    val exitStatus: Int

    /** Another operator's change to the same base revision came first. */
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

    /** No answer, an answer that could not be decoded, or a server error. */
    data class Unreachable(val detail: String) : CliError {
        override val lines = listOf(detail)
        override val exitStatus = ExitStatus.UNREACHABLE
    }
}
