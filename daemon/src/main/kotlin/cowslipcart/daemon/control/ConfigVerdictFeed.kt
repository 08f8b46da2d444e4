package cowslipcart.daemon.control

import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.model.LogOffset
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Passes verdicts on configuration records to the operator requests that appended them. */
internal class ConfigVerdictFeed {
    private val verdicts = MutableSharedFlow<ConfigVerdict>(
        replay = REPLAY_CAPACITY,
        extraBufferCapacity = REPLAY_CAPACITY,
        onBufferOverflow = kotlinx.coroutines.channels.BufferOverflow.DROP_OLDEST
    )

    /** Never blocks; the oldest verdicts are dropped. */
    fun publish(verdict: ConfigVerdict) {
        verdicts.tryEmit(verdict)
    }

    /** Awaits the verdict on the record at [offset]; null if none comes within [timeoutMs]. */
    suspend fun await(offset: LogOffset, timeoutMs: Long): ConfigVerdict? =
        withTimeoutOrNull(timeoutMs) { verdicts.first { it.offset == offset } }

    private companion object {
        /** Verdicts kept for requests that start to wait after the verdict was published. */
        const val REPLAY_CAPACITY = 1_024
    }
}
