package cowslipcart.standins.platform

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.OutputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** One connection of a caller to a [RunnerServer]. */
internal class RunnerConnection(private val socket: Socket) {
    val input = BufferedInputStream(socket.getInputStream())
    val output: OutputStream = socket.getOutputStream()

    /**
     * Waits for [durationMs]; throws an IOException as soon as the caller closes the connection.
     */
    fun work(durationMs: Long) {
        if (durationMs <= 0) return
        val end = TimeSource.Monotonic.markNow() + durationMs.milliseconds
        socket.soTimeout = durationMs.toInt()
        input.mark(1)
        try {
            if (input.read() < 0) throw EOFException("caller closed the connection")
            input.reset()
            val leftMs = -end.elapsedNow().inWholeMilliseconds
            if (leftMs > 0) TimeUnit.MILLISECONDS.sleep(leftMs)
        } catch (_: SocketTimeoutException) {
            return
        } finally {
            socket.soTimeout = 0
        }
    }
}
