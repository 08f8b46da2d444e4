package cowslipcart.daemon.gateway

import cowslipcart.core.intake.HoldId
import cowslipcart.core.intake.RefusedIntake
import cowslipcart.daemon.http1.BufferAccount
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull

/** A request is not read to its end, and has not run. */
internal class IntakeRefusedException(val reason: RefusedIntake) : IOException(reason.text)

/** The memory of one request of a caller, until its answer has ended. */
internal class IntakeHold(val id: HoldId, private val intake: CallerIntake) : BufferAccount {
    /** Completes when what the request waits for is granted; null if it does not wait. */
    @Volatile
    var wait: CompletableJob? = null

    @Volatile
    private var reader: Job? = null

    @Volatile
    private var refusal: RefusedIntake? = null

    /**
     * Returns the result of [read], or null after [timeoutMs]. Throws [IntakeRefusedException] as
     * soon as the request is refused.
     */
    suspend fun <T> read(timeoutMs: Long, read: suspend () -> T): T? = try {
        withTimeoutOrNull(timeoutMs) {
            reader = currentCoroutineContext().job
            failIfRefused()
            read()
        }
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        throw refusal?.let { IntakeRefusedException(it) } ?: e
    } finally {
        reader = null
    }

    override suspend fun reserve(bytes: Int) {
        val wait = intake.request(this, bytes) ?: return
        while (withTimeoutOrNull(RECHECK_MS) { wait.join() } == null) {
            failIfRefused()
            intake.recheck()
        }
    }

    override fun tryReserve(bytes: Int): Boolean = intake.tryReserve(this, bytes)

    override fun giveBack(bytes: Int) = intake.reduce(this, bytes)

    override fun received(bytes: Int) = intake.received(this, bytes)

    /** Notes that the request was read whole. Throws [IntakeRefusedException] if it was refused. */
    fun complete() {
        if (!intake.complete(this)) throw IntakeRefusedException(refusal ?: RefusedIntake.NO_ROOM)
    }

    /** Gives all bytes back. */
    fun release() = intake.release(this)

    /** Called by [intake] when the bytes that the request waits for are reserved. */
    fun onGranted() {
        wait?.complete()
    }

    /** Ends the reading of the request. */
    fun refuse(reason: RefusedIntake) {
        refusal = reason
        reader?.cancel()
    }

    private fun failIfRefused() {
        refusal?.let { throw IntakeRefusedException(it) }
    }

    private companion object {
        /** Interval at which a request that waits has the others checked for stalls, in ms. */
        const val RECHECK_MS = 100L
    }
}
