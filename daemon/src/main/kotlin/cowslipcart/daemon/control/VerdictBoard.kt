package cowslipcart.daemon.control

import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.model.LogOffset
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Lets operators' requests await what became of the record that they appended. */
internal class VerdictBoard {
    private val verdicts = MutableSharedFlow<ConfigVerdict>(
        replay = REMEMBERED,
        extraBufferCapacity = REMEMBERED,
        onBufferOverflow = kotlinx.coroutines.channels.BufferOverflow.DROP_OLDEST
    )

    fun post(verdict: ConfigVerdict) {
        verdicts.tryEmit(verdict)
    }

    /** Awaits the verdict on the record at [offset]; null if none comes within [timeoutMs]. */
    suspend fun await(offset: LogOffset, timeoutMs: Long): ConfigVerdict? =
        withTimeoutOrNull(timeoutMs) { verdicts.first { it.offset == offset } }

    private companion object {
        const val REMEMBERED = 1_024
    }
}
