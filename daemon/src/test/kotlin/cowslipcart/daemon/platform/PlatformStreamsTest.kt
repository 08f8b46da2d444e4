package cowslipcart.daemon.platform

import arrow.core.Either
import arrow.core.right
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.host.HostInput
import cowslipcart.core.log.LogError
import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogPort
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.wire.log.LogCodec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest

/** Guards against an undecodable record that stops the replay of the stream `epochs`. */
@OptIn(ExperimentalCoroutinesApi::class)
class PlatformStreamsTest {
    private val entry = EpochEntry.ExtendEpoch(1, 9)
    private val valid = LogCodec.encodeEpoch(entry)
    private val inputs = mutableListOf<HostInput>()

    /** The version is the first value of the envelope; both numbers take one byte. */
    private val newer = valid.copyOf().also { bytes ->
        val position = bytes.indexOfFirst { it == LogCodec.VERSION.toByte() }
        bytes[position] = (LogCodec.VERSION + 1).toByte()
    }

    private fun read(vararg payloads: ByteArray) = runTest {
        val log = OnePageLog(payloads.toList())
        PlatformStreams(log, backgroundScope, Metrics(), RuntimeClock(), inputs::add).start()
        runCurrent()
    }

    private fun epochs() = inputs.filterIsInstance<HostInput.EpochsRead>().single().records

    @Test
    fun `a record that cannot be decoded is submitted as void`() {
        read(valid, byteArrayOf(1, 2, 3), valid)
        assertEquals(
            listOf(entry, null, entry).mapIndexed { index, entry -> record(index, entry) },
            epochs()
        )
    }

    @Test
    fun `a record of a newer version is left out, since it is valid on hosts that can decode it`() {
        read(valid, newer, valid)
        assertEquals(listOf(record(0, entry), record(2, entry)), epochs())
    }

    /** Guards against a failed read or page after which the stream is never read again. */
    @Test
    fun `a stream is read further after its read or its page has failed`() {
        for (failure in listOf(StackOverflowError(), IllegalStateException("unexpected"))) {
            inputs.clear()
            var submitFailure: Throwable? = failure
            runTest {
                val log = OnePageLog(listOf(valid), failure)
                val streams = PlatformStreams(log, backgroundScope, Metrics(), RuntimeClock()) {
                    submitFailure?.let { failure ->
                        submitFailure = null
                        throw failure
                    }
                    inputs += it
                }
                streams.start()
                delay(SETTLE_MS)
            }
            assertEquals(listOf(record(0, entry)), epochs(), "after $failure")
        }
    }

    private fun record(index: Int, entry: EpochEntry?) =
        EpochRecord(LogOffset(index.toLong()), index * 10L, entry)

    /**
     * Returns one page of the stream `epochs` and suspends on every other call. Its first read
     * throws [failure] if not null.
     */
    private class OnePageLog(
        private val payloads: List<ByteArray>,
        private var failure: Throwable? = null
    ) : LogPort {
        override suspend fun append(
            stream: StreamName,
            payload: ByteArray
        ): Either<LogError, LogOffset> = awaitCancellation()

        override suspend fun read(
            stream: StreamName,
            from: LogOffset,
            maxCount: Int,
            waitMs: Long
        ): Either<LogError, LogPage> {
            if (stream.value != "epochs" || from.value > 0) awaitCancellation()
            failure?.let {
                failure = null
                throw it
            }
            val records = payloads.mapIndexed { index, payload ->
                LogRecord(LogOffset(index.toLong()), index * 10L, payload)
            }
            return LogPage(records, LogOffset(0), LogOffset(payloads.size.toLong())).right()
        }
    }

    private companion object {
        /** Longer than the pauses after two failures, in ms. */
        const val SETTLE_MS = 5_000L
    }
}
