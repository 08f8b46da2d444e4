package cowslipcart.systemtest

/** Result of a sign-off as its caller knows it. */
internal sealed interface SignOffResult {
    data class Answered(val body: String) : SignOffResult

    /** A daemon answered not-run and the caller stopped resending. */
    data object NotRun : SignOffResult

    /** Each send got no answer or outcome-unknown. */
    data object Unknown : SignOffResult
}

/** Sends a sign-off and resends it under the same key to the other daemons. */
internal class SignOffCaller(
    private val daemons: List<DaemonHandle>,
    private val timeoutMs: Long = 3_000
) {
    /**
     * Sends [key] first to the daemon at [firstIndex]; a resend goes to the next one. Ends with an
     * answer, with not-run, or after [maxSends] sends.
     */
    suspend fun send(key: String, body: String, firstIndex: Int, maxSends: Int): SignOffResult {
        for (attempt in 0 until maxSends) {
            val daemon = daemons[(firstIndex + attempt) % daemons.size]
            val answer =
                WholeAnswerCaller.trySend(daemon.signOffRequest(key, body), timeoutMs) ?: continue
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
