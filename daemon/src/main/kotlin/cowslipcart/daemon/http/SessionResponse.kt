package cowslipcart.daemon.http

import cowslipcart.daemon.endpoint.EndpointContext
import cowslipcart.daemon.session.CallerOutput
import cowslipcart.daemon.session.RequestSession
import cowslipcart.daemon.session.RequestStage
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.ReceiveChannel

/** Writes the output of a session as the HTTP response to its caller. */
internal class SessionResponse(
    private val session: RequestSession,
    private val context: EndpointContext,
    private val tierName: String
) {
    private val requestId = session.request.requestId.value

    /**
     * Writes the answer as it arrives and returns at its end. Notifies the session if the caller
     * disconnects.
     *
     * @param startMs arrival of the request on the process clock
     */
    suspend fun write(call: ApplicationCall, startMs: Long) {
        var isComplete = false
        try {
            isComplete = writeOutput(call, startMs)
        } catch (e: IOException) {
            countAnswer("caller-gone")
            throw CancellationException("the caller closed its connection", e)
        } finally {
            if (!isComplete) session.onCallerDisconnected()
        }
    }

    private suspend fun writeOutput(call: ApplicationCall, startMs: Long): Boolean {
        val output: ReceiveChannel<CallerOutput> = session.output
        call.response.header(REQUEST_ID_HEADER, requestId)
        when (val first = output.receiveCatching().getOrNull()) {
            is CallerOutput.Head -> writeAnswer(call, first, output, startMs)

            is CallerOutput.Problem -> {
                val problem = HttpError.Rejected(first.rejection).toProblem()
                countAnswer(problem.name)
                call.respondProblem(problem, requestId)
            }

            is CallerOutput.Body, null -> error("expected a head or a problem, found $first")
        }
        return true
    }

    private suspend fun writeAnswer(
        call: ApplicationCall,
        head: CallerOutput.Head,
        output: ReceiveChannel<CallerOutput>,
        startMs: Long
    ) {
        context.metrics.firstToken.labelValues(tierName)
            .observe((context.clock.nowMs() - startMs) / 1_000.0)
        val type = ContentType.parse(head.contentType)
        call.respondBytesWriter(type, HttpStatusCode.fromValue(head.status)) {
            var result = "answered"
            var isFirst = true
            for (part in output) {
                when (part) {
                    is CallerOutput.Body -> {
                        writeFully(part.bytes)
                        flush()
                        if (isFirst) observeStages()
                        isFirst = false
                    }

                    is CallerOutput.Problem -> result = writeLateProblem(part)

                    is CallerOutput.Head -> error("expected one head, found another")
                }
            }
            countAnswer(result)
        }
    }

    private fun observeStages() {
        session.timeline.end(RequestStage.WRITE)
        session.timeline.observeStages { stage, seconds ->
            context.metrics.stages.labelValues(stage.label).observe(seconds)
        }
    }

    /** Writes the problem as an event, since the status has been sent, and returns its name. */
    private suspend fun ByteWriteChannel.writeLateProblem(part: CallerOutput.Problem): String {
        val problem = HttpError.Rejected(part.rejection).toProblem()
        val json = problem.toDocument(requestId).toJson()
        writeFully("event: error\ndata: $json\n\n".encodeToByteArray())
        flush()
        return problem.name
    }

    private fun countAnswer(result: String) =
        context.metrics.requests.labelValues(tierName, result).inc()

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
    }
}

/** Answers with a problem document. */
internal suspend fun ApplicationCall.respondProblem(problem: Problem, requestId: String?) {
    problem.retryAfterMs?.let { response.header(HttpHeaders.RetryAfter, secondsFor(it)) }
    respondText(
        problem.toDocument(requestId).toJson(),
        ContentType.parse(Problem.CONTENT_TYPE),
        HttpStatusCode.fromValue(problem.status)
    )
}

/** Returns the value of `Retry-After`: whole seconds, rounded up, at least one. */
private fun secondsFor(retryAfterMs: Long): String =
    ((retryAfterMs + 999) / 1_000).coerceAtLeast(1).toString()
