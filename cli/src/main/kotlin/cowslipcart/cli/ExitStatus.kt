package cowslipcart.cli

/** Exit statuses of the tool, as `cowslipcart --help` documents them. */
internal object ExitStatus {
    const val OK = 0

    /** The daemon refused the change, or another operator's change came first. */
    const val REFUSED = 1

    /** A file, an option or an argument is wrong. Nothing was sent. */
    const val WRONG_INPUT = 2

    /** The daemon or its log gave no answer; a change may have taken effect all the same. */
    const val UNREACHABLE = 3
}
