package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import kotlinx.coroutines.channels.Channel

/** A listener that never commands another endpoint. */
internal object SilentListener : AttemptListener {
    override val commands = Channel<CallCommand>()

    override fun onResponseStarted() = Unit

    override fun onStalled() = Unit
}
