package cowslipcart.experiment.scenario

/**
 * Checks the guarantees on the replies to callers, the journal of the endpoints and the revisions
 * that hosts published. It uses no state of the hosts' decisions.
 */
internal object Oracle {
    /** Time after which an endpoint that announced its leaving may get no new work. */
    const val LEAVING_BOUND_MS = 3_000L

    /** Returns the violated guarantees; empty if none. */
    fun check(world: World): List<String> {
        val byRequest = world.journal.runs.groupBy { it.call.requestId }
        val byKey = world.journal.runs.filter { it.call.key != null }.groupBy { it.call.key }
        return checkRunCounts(byRequest, "request") +
            checkRunCounts(byKey, "key") +
            world.callers.flatMap { checkCaller(it, byRequest, byKey) } +
            checkLeaving(world) +
            world.revisions.violations
    }

    private fun checkRunCounts(runs: Map<out Any?, List<JournalEntry>>, what: String) = runs
        .filterValues { it.size > 1 }
        .map { (id, entries) ->
            "$what $id: expected at most 1 run, found ${entries.size}: " +
                entries.joinToString { "${it.endpoint} at ${it.atMs} ms from ${it.call.host}" }
        }

    private fun checkCaller(
        record: CallerRecord,
        byRequest: Map<out Any?, List<JournalEntry>>,
        byKey: Map<out Any?, List<JournalEntry>>
    ): List<String> = buildList {
        val call = record.call
        if (record.replies.size > 1) {
            val kinds = record.replies.map { it.kind.label }
            add("${call.name}: expected one reply, found $kinds")
        }
        val reply = record.reply ?: return@buildList
        when (reply.kind) {
            ReplyKind.NOT_RUN -> {
                byRequest[record.endpointCall.requestId]?.let {
                    add("${call.name}: expected no run after not-run, found ${it.size}")
                }
                val earlier = byKey[call.scopedKey]?.filter { it.atMs <= reply.atMs }.orEmpty()
                if (!call.route.isIdempotent && earlier.isNotEmpty()) {
                    add(
                        "${call.name}: expected that key ${call.scopedKey} had not run before " +
                            "not-run at ${reply.atMs} ms, found a run at ${earlier[0].atMs} ms"
                    )
                }
            }

            ReplyKind.ANSWERED -> {
                val expected = FakeEndpoint.wholeAnswer(record.endpointCall)
                if (reply.body != expected) {
                    add("${call.name}: expected answer $expected, found ${reply.body}")
                }
            }

            ReplyKind.QUARANTINED, ReplyKind.LIMIT_EXCEEDED, ReplyKind.BAD_REQUEST,
            ReplyKind.STILL_RUNNING ->
                byRequest[record.endpointCall.requestId]?.let {
                    add("${call.name}: expected no run after ${reply.kind.label}, found a run")
                }

            ReplyKind.OUTCOME_UNKNOWN -> Unit
        }
    }

    private fun checkLeaving(world: World): List<String> = world.allEndpoints.flatMap { endpoint ->
        val sinceMs = endpoint.leavingSinceMs ?: return@flatMap emptyList()
        findNewWork(world, endpoint, sinceMs + LEAVING_BOUND_MS)
    }

    /** Violations for calls whose dispatch to [endpoint] was decided after [boundMs]. */
    fun findNewWork(world: World, endpoint: FakeEndpoint, boundMs: Long): List<String> =
        world.journal.runs
            .filter { it.endpoint == endpoint.spec.id && it.decidedAtMs > boundMs }
            .map {
                "${endpoint.spec.id}: expected no new work after $boundMs ms, found " +
                    "${it.call.requestId} of ${it.call.host}, sent at ${it.decidedAtMs} ms"
            }
}
