package cowslipcart.core.origin

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.RequestId

/** Requests of this host by id, with the state changes that end a request. */
internal class RequestTable {
    private val requests = LinkedHashMap<RequestId, TrackedRequest>()
    private val openRequests = LinkedHashMap<RequestId, TrackedRequest>()
    private val ended = ArrayDeque<TrackedRequest>()
    val answers = AnswerStore()

    val all: Collection<TrackedRequest> get() = requests.values

    /** Requests that are neither finished nor rejected. */
    val open: Collection<TrackedRequest> get() = openRequests.values

    fun add(tracked: TrackedRequest) {
        requests[tracked.request.requestId] = tracked
        openRequests[tracked.request.requestId] = tracked
    }

    fun find(requestId: RequestId): TrackedRequest? = requests[requestId]

    /** Ends a request that did not run and releases its key. */
    fun endNotRun(tracked: TrackedRequest, rejection: Rejection, nowMs: Long): List<OriginEffect> {
        end(tracked, RequestState.NotRun, nowMs)
        return listOf(OriginEffect.Reject(tracked.request.requestId, rejection)) +
            releaseClaim(tracked)
    }

    /** Ends a request that may have run. Its key stays claimed. */
    fun endUnknown(tracked: TrackedRequest, rejection: Rejection, nowMs: Long): List<OriginEffect> {
        end(tracked, RequestState.Unknown, nowMs)
        return listOf(OriginEffect.Reject(tracked.request.requestId, rejection))
    }

    /** Ends a request whose whole answer has arrived; keeps the answer of a keyed request. */
    fun endDone(tracked: TrackedRequest, answer: StoredAnswer?, nowMs: Long): List<OriginEffect> {
        end(tracked, RequestState.Done, nowMs)
        val request = tracked.request
        val effects = mutableListOf<OriginEffect>(OriginEffect.ReportCompleted(request.fingerprint))
        if (answer != null && request.key != null) {
            answers.put(request.requestId, answer, nowMs)
            if (!request.isIdempotent) {
                effects +=
                    OriginEffect.SendClaimItem(outcomeItem(request, answer), isDurable = true)
            }
        }
        return effects
    }

    /** Ends a request that did not run, with [effect] as its answer; its claim is not released. */
    fun endWithoutRelease(
        tracked: TrackedRequest,
        effect: OriginEffect,
        nowMs: Long
    ): List<OriginEffect> {
        end(tracked, RequestState.NotRun, nowMs)
        return listOf(effect)
    }

    /** Releases the key if a claim for it was sent. */
    fun releaseClaim(tracked: TrackedRequest): List<OriginEffect> {
        val request = tracked.request
        val key = request.key
        if (key == null || !tracked.hasClaimed) return emptyList()
        val item = ClaimItem.Release(key, AttemptId(request.requestId.value))
        return listOf(OriginEffect.SendClaimItem(item, isDurable = !request.isIdempotent))
    }

    /** Removes answers and ended requests after [AnswerStore.LIFETIME_MS]. */
    fun removeExpired(nowMs: Long) {
        answers.removeExpired(nowMs)
        while (ended.isNotEmpty() && nowMs - ended.first().endedAtMs > AnswerStore.LIFETIME_MS) {
            requests.remove(ended.removeFirst().request.requestId)
        }
    }

    private fun end(tracked: TrackedRequest, state: RequestState, nowMs: Long) {
        check(tracked.isOpen) {
            "expected an open request, found ${tracked.request.requestId} in ${tracked.state}"
        }
        tracked.state = state
        tracked.endedAtMs = nowMs
        openRequests.remove(tracked.request.requestId)
        ended.addLast(tracked)
    }

    private fun outcomeItem(request: CallerRequest, answer: StoredAnswer): ClaimItem.Outcome {
        val body = answer.body.takeIf { it.length <= MAX_RECORDED_BODY_BYTES }
        return ClaimItem.Outcome(
            checkNotNull(request.key),
            AttemptId(request.requestId.value),
            RecordedAnswer(answer.status, answer.contentType, body)
        )
    }

    private companion object {
        /** Bodies of larger answers are left out of the log to save its bandwidth. */
        const val MAX_RECORDED_BODY_BYTES = 2 * 1024
    }
}
