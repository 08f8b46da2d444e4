package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeFully
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

class RequestBodyReaderTest {
    /** Counts what is reserved. */
    private class CountingAccount : BufferAccount {
        var reservedBytes = 0
        var receivedBytes = 0

        override suspend fun reserve(bytes: Int) {
            reservedBytes += bytes
        }

        override fun tryReserve(bytes: Int): Boolean = false

        override fun giveBack(bytes: Int) {
            reservedBytes -= bytes
        }

        override fun received(bytes: Int) {
            receivedBytes += bytes
        }
    }

    private val account = CountingAccount()

    private fun reader(bytes: ByteArray, framing: BodyFraming) =
        RequestBodyReader(BodyReader(ByteSource(ByteReadChannel(bytes)), framing), account)

    private fun chunked(body: ByteArray, chunkBytes: Int): ByteArray =
        body.toList().chunked(chunkBytes).fold(ByteArray(0)) { all, part ->
            all + MessageWriter.chunk(part.toByteArray())
        } + MessageWriter.LAST_CHUNK

    @Nested
    inner class Complete {
        /** Guards against a body that changes with the way it is read, and against lost memory. */
        @Test
        fun `a body is read whole and reserves its size`() = runTest {
            val random = Random(SEED)
            for (size in listOf(0, 1, 4_095, 4_096, 4_097, 70_000, 200_000)) {
                val body = random.nextBytes(size)
                val whole = reader(body, BodyFraming.Length(size.toLong())).read(200_000)
                val inChunks = reader(chunked(body, 999), BodyFraming.Chunked).read(200_000)
                for (read in listOf(whole, inChunks)) {
                    val joined = read.pieces.fold(ByteArray(0)) { all, piece -> all + piece }
                    assertContentEquals(body, joined)
                    assertEquals(size, read.size)
                    account.reservedBytes -= size
                }
            }
            assertEquals(0, account.reservedBytes)
        }

        /** Guards against memory that an announcement takes, without a byte of the body. */
        @Test
        fun `an announced length reserves little`() = runTest {
            val channel = ByteChannel()
            val framing = BodyFraming.Length(4_000_000)
            val reading = launch {
                RequestBodyReader(BodyReader(ByteSource(channel), framing), account).read(4_000_000)
            }
            launch {
                channel.writeFully(ByteArray(10_000))
                channel.flush()
            }
            testScheduler.runCurrent()
            assertTrue(account.reservedBytes <= 2 * 10_000 + 4_096, "${account.reservedBytes}")
            assertEquals(10_000, account.receivedBytes)
            reading.cancel()
        }
    }

    @Nested
    inner class TooLong {
        @Test
        fun `a body over the limit fails, whether its length is announced or not`() = runTest {
            val body = ByteArray(1_001)
            assertFailsWith<TooLongException.OfBody> {
                reader(ByteArray(0), BodyFraming.Length(1_001)).read(1_000)
            }
            assertEquals(0, account.reservedBytes)
            assertFailsWith<TooLongException.OfBody> {
                reader(chunked(body, 100), BodyFraming.Chunked).read(1_000)
            }
        }
    }

    private companion object {
        const val SEED = 3
    }
}
