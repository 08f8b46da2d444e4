package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeFully
import java.io.IOException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

class BodyReaderTest {
    private fun source(text: String) = ByteSource(ByteReadChannel(text.toByteArray()))

    private suspend fun readAll(text: String, framing: BodyFraming): String =
        BodyReader(source(text), framing).readAll(1_000).decodeToString()

    @Nested
    inner class Complete {
        @Test
        fun `bytes after a body with a length are left in the source`() = runTest {
            val source = source("abcdNEXT")
            BodyReader(source, BodyFraming.Length(4)).readAll(10)
            assertFalse(source.isIdle)
        }

        @Test
        fun `chunks are joined`() = runTest {
            val text = "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n"
            assertEquals("abc0123456789", readAll(text, BodyFraming.Chunked))
        }

        @Test
        fun `a body without framing ends with its connection`() = runTest {
            assertEquals("abc", readAll("abc", BodyFraming.UntilClose))
        }
    }

    @Nested
    inner class Invalid {
        @Test
        fun `a body shorter than its length fails`() = runTest {
            assertFailsWith<IOException> { readAll("abc", BodyFraming.Length(4)) }
        }

        @Test
        fun `a chunked body without its last chunk fails`() = runTest {
            assertFailsWith<IOException> { readAll("3\r\nabc\r\n", BodyFraming.Chunked) }
        }

        @Test
        fun `a body without framing fails if its connection is reset`() = runTest {
            val channel = ByteChannel()
            channel.writeFully("abc".toByteArray())
            channel.flush()
            val reader = BodyReader(ByteSource(channel), BodyFraming.UntilClose)
            launch { channel.cancel(IOException("reset")) }
            assertFailsWith<IOException> { while (reader.next() != null) Unit }
        }

        @Test
        fun `malformed chunk sizes fail`() = runTest {
            for (size in listOf("-1", "0x3", "", "123456789", "g", "3 3")) {
                assertFailsWith<IOException>(size) {
                    readAll("$size\r\nabc\r\n0\r\n\r\n", BodyFraming.Chunked)
                }
            }
        }
    }

    @Nested
    inner class RandomPieces {
        /** Guards against a reader that depends on how the network splits the bytes. */
        @Test
        fun `a body does not depend on how the network splits the bytes`() = runTest {
            val random = Random(SEED)
            repeat(200) {
                val body = random.nextBytes(random.nextInt(1, 5_000))
                val encoded = body.toList().chunked(random.nextInt(1, 900))
                    .fold(ByteArray(0)) { all, part ->
                        all + MessageWriter.chunk(part.toByteArray())
                    } + MessageWriter.LAST_CHUNK
                val channel = ByteChannel()
                launch {
                    for (piece in encoded.toList().chunked(random.nextInt(1, 700))) {
                        channel.writeFully(piece.toByteArray())
                        channel.flush()
                    }
                }
                val source = ByteSource(channel)
                assertContentEquals(body, BodyReader(source, BodyFraming.Chunked).readAll(10_000))
                assertTrue(source.isIdle)
            }
        }
    }

    private companion object {
        const val SEED = 7
    }
}
