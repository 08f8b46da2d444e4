package cowslipcart.standins.http

import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.job

/**
 * Closes the connection of this call without an answer.
 *
 * Ktor has no call for this, and an exception in a handler only leads to an answer with status 500.
 * The CIO engine closes a socket when the job named [PIPELINE_NAME], an ancestor of the call's job,
 * is cancelled.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun ApplicationCall.closeConnection() {
    val pipeline = generateSequence<Job>(coroutineContext.job) { it.parent }.firstOrNull {
        (it as? CoroutineScope)?.coroutineContext?.get(CoroutineName)?.name == PIPELINE_NAME
    }
    checkNotNull(pipeline) { "expected an ancestor job named $PIPELINE_NAME, found none" }.cancel()
}

private const val PIPELINE_NAME = "http-pipeline"
