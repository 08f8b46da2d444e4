package cowslipcart.daemon.gateway

import kotlinx.coroutines.Job

/** A listener that never replaces the attempt. */
internal object SilentListener : AttemptListener {
    override val replaced = Job()

    override suspend fun onAccepted() = Unit

    override fun onResponseStarted() = Unit

    override fun onLeaving() = Unit

    override fun onBackoff(request: BackoffRequest) = Unit

    override fun onLoadStated(statement: LoadStatement) = Unit

    override fun onStalled() = Unit
}
