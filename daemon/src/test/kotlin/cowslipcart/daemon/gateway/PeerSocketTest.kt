package cowslipcart.daemon.gateway

import cowslipcart.daemon.SocketAddressSetting
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import org.junit.jupiter.api.Nested

class PeerSocketTest {
    private val loopback = SocketAddressSetting("127.0.0.1", 0)
    private val received = LinkedBlockingQueue<String>()
    private val failures = LinkedBlockingQueue<Throwable>()
    private val receiver = PeerSocket(
        loopback,
        { bytes, _ ->
            val text = bytes.decodeToString()
            check(text != BAD)
            received += text
        },
        { failures += it }
    )
    private val sender = PeerSocket(loopback, { _, _ -> }, {})

    @AfterTest
    fun close() {
        receiver.close()
        sender.close()
    }

    private fun send(text: String) = sender.send(text.encodeToByteArray(), receiver.localAddress)

    private fun <T> LinkedBlockingQueue<T>.next(): T? = poll(PATIENCE_S, TimeUnit.SECONDS)

    @Nested
    inner class Receiving {
        @Test
        fun `datagrams arrive whole and in order`() {
            receiver.start()
            val texts = listOf("", "a", "b".repeat(11_000))
            texts.forEach { send(it) }
            assertEquals<List<String?>>(texts, texts.map { received.next() })
        }

        /** Guards against a host that hears no other one after a datagram that it fails on. */
        @Test
        fun `a datagram that can't be handled does not end the thread`() {
            receiver.start()
            send(BAD)
            send("good")
            assertNotNull(failures.next())
            assertEquals("good", received.next())
        }
    }

    private companion object {
        const val BAD = "bad"
        const val PATIENCE_S = 10L
    }
}
