package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager

/**
 * Suspends until [socket] is ready for [interest]. The socket can't be waited for with the same
 * interest again if this was cancelled.
 */
internal suspend fun SelectorManager.awaitReady(socket: Selectable, interest: SelectInterest) {
    socket.interestOp(interest, true)
    try {
        select(socket, interest)
    } finally {
        // A later wait for the other interest would wake up for this one too.
        socket.interestOp(interest, false)
    }
}
