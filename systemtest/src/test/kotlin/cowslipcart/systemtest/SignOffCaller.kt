package cowslipcart.systemtest

/** What a caller knows about its sign-off at the end. */
internal sealed interface SignOffResult {
    data class Answered(val body: String) : SignOffResult

    /** The caller was told that it did not run and stopped sending it. */
    data object NotRun : SignOffResult

    /** No resend gave more than "unknown". */
    data object Unknown : SignOffResult
}

/** Sends a sign-off and resends it under the same key to other daemons, as a careful caller does. */
internal class SignOffCaller(
    private val daemons: List<DaemonHandle>,
    private val timeoutMs: Long = 3_000
) {
    /**
     * Sends [key] first to the daemon at [firstIndex]; a resend goes to the next one. Ends with an
     * answer, with "not run", or after [maxSends] sends.
     */
    suspend fun send(key: String, body: String, firstIndex: Int, maxSends: Int): SignOffResult {
        for (number in 0 until maxSends) {
            val daemon = daemons[(firstIndex + number) % daemons.size]
            val answer = HttpCaller.trySend(daemon.signOffRequest(key, body), timeoutMs) ?: continue
            when {
                answer.status == 201 -> return SignOffResult.Answered(answer.body)
                answer.problem == "not-run" -> return SignOffResult.NotRun
                answer.problem == "outcome-unknown" -> Unit
                else -> error("expected an answer, not-run or outcome-unknown, found $answer")
            }
        }
        return SignOffResult.Unknown
    }
}
