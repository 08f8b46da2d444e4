package cowslipcart.systemtest

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against bad input that crashes the daemon, disturbs other requests or gets no error. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class BadInputTest {
    private lateinit var cluster: Cluster
    private lateinit var concurrentChat: Deferred<StreamAnswer>
    private val daemon get() = cluster.daemons.first()

    @BeforeAll
    fun startCluster() = runBlocking {
        val arguments = listOf("--max-body-bytes", MAX_BODY_BYTES.toString())
        cluster = Cluster.start(
            ClusterPlan(daemonCount = 1, engineCount = 1, daemonArguments = arguments)
        )
    }

    @AfterAll
    fun stopCluster() = cluster.close()

    /** Starts a valid chat that runs while the test sends its bad input. */
    @BeforeEach
    fun startConcurrentChat() {
        concurrentChat = CoroutineScope(Dispatchers.Default).async {
            daemon.streamChat("concurrent", CONCURRENT_TOKENS)
        }
    }

    @AfterEach
    fun checkConcurrentChat() = runBlocking {
        assertNull(concurrentChat.await().findFault("concurrent", CONCURRENT_TOKENS))
        assertTrue(daemon.process.isAlive, "expected the daemon to run, found it ended")
    }

    private fun assertProblem(answer: HttpAnswer, status: Int, problem: String, case: String) {
        assertEquals(status, answer.status, "$case: $answer")
        assertEquals(problem, answer.problem, "$case: $answer")
    }

    private suspend fun sendChat(
        body: ByteArray,
        headers: List<Pair<String, String>> = emptyList()
    ) = HttpCaller.send(daemon.chatRequest(body, headers))

    private suspend fun assertBadChat(body: String, status: Int = 400) =
        assertProblem(sendChat(body.encodeToByteArray()), status, "bad-request", body.take(120))

    private suspend fun assertBadHeader(vararg headers: Pair<String, String>) = assertProblem(
        sendChat(chatBody("headers", 2).encodeToByteArray(), headers.toList()),
        400,
        "bad-request",
        headers.joinToString().take(120)
    )

    @Nested
    inner class Body {
        @Test
        fun `JSON that cannot be read is refused`() = runBlocking {
            listOf("", "{", "[]", "null", "\"text\"", "{\"model\":}", "{}", "\u0000").forEach {
                assertBadChat(it)
            }
        }

        @Test
        fun `bytes that are not UTF-8 are refused`() = runBlocking {
            val start = """{"model":"${SampleDeclarations.MODEL}","messages":"""
            val body = start.encodeToByteArray() + byteArrayOf(-1, -2, 0x22)
            assertProblem(sendChat(body), 400, "bad-request", "wrong UTF-8")
        }

        @Test
        fun `a body above the limit is refused with 413`() = runBlocking {
            val body = chatBody("a".repeat(MAX_BODY_BYTES), 2)
            assertBadChat(body, status = 413)
        }

        @Test
        fun `a key that occurs twice is refused`() = runBlocking {
            val start = """{"model":"${SampleDeclarations.MODEL}","""
            val message = """{"role":"user","content":"x"}"""
            assertBadChat("""$start"messages":[$message],"model":"other"}""")
            assertBadChat("""$start"messages":[$message],"mod\u0065l":"other"}""")
            assertBadChat("""$start"messages":[{"role":"user","content":"x","content":"y"}]}""")
        }

        @Test
        fun `messages of a wrong shape are refused`() = runBlocking {
            val start = """{"model":"${SampleDeclarations.MODEL}","messages":"""
            listOf("{}", "[]", "[1]", "[{}]", """[{"role":1,"content":"x"}]""").forEach {
                assertBadChat("$start$it}")
            }
        }

        @Test
        fun `a model that no pool serves is refused`() = runBlocking {
            assertBadChat(chatBody("x", 2).replace(SampleDeclarations.MODEL, "none"), status = 404)
        }

        @Test
        fun `a token limit that is out of range or no whole number is refused`() = runBlocking {
            val numbers = listOf(
                "-1",
                "0",
                "1000001",
                "99999999999999999999",
                "1.5",
                "\"5\"",
                "null",
                "[]"
            )
            for (number in numbers) {
                assertBadChat(
                    chatBody("x", 2).replace("\"max_tokens\":2", "\"max_tokens\":$number")
                )
            }
        }

        @Test
        fun `deep nesting is refused`() = runBlocking {
            val depth = MAX_BODY_BYTES / 2 - 200
            val nested = "[".repeat(depth) + "]".repeat(depth)
            val body = chatBody("x", 2).replace("{\"model\"", "{\"extra\":$nested,\"model\"")
            assertBadChat(body)
        }
    }

    @Nested
    inner class Headers {
        @Test
        fun `a caller without one valid token is refused with 401`() = runBlocking {
            val chat = chatBody("x", 2).encodeToByteArray()
            val valid = DaemonHandle.bearer(SampleDeclarations.PARKS_TOKEN)
            val cases = listOf(
                emptyList(),
                DaemonHandle.bearer("wrong"),
                DaemonHandle.bearer(""),
                listOf("Authorization" to "Basic cGFya3M6cGFya3M="),
                valid + valid,
                valid + DaemonHandle.bearer("wrong")
            )
            for (headers in cases) {
                val request =
                    HttpRequestData("${daemon.url}/v1/chat/completions", "POST", headers, chat)
                assertProblem(HttpCaller.send(request), 401, "unauthenticated", "$headers")
            }
        }

        @Test
        fun `a tier that is not declared or too high is refused`() = runBlocking {
            listOf("-1", "3", "99999999999", "top", "").forEach { assertBadHeader("X-Tier" to it) }
            assertBadHeader("X-Tier" to "0", "X-Tier" to "2")
            val body = chatBody("x", 2)
            val headers = listOf("X-Tier" to "0")
            val answer = daemon.chat(body, headers, SampleDeclarations.TAGGING_TOKEN)
            assertProblem(answer, 400, "bad-request", "tier above the organisation's")
        }

        @Test
        fun `a deadline that is out of range or no whole number is refused`() = runBlocking {
            listOf("-1", "0", "86400001", "99999999999999999999", "1.5", "soon").forEach {
                assertBadHeader("X-Deadline-Ms" to it)
            }
        }

        @Test
        fun `too many or too long headers are refused`() = runBlocking {
            assertBadHeader(*Array(80) { "X-Extra-$it" to "value" })
            val many = Array(20) { "X-Long-$it" to "v".repeat(1_000) }
            assertBadHeader(*many)
        }

        @Test
        fun `a content type that cannot be parsed is refused`() = runBlocking {
            val head = "POST /services/records/sign-offs HTTP/1.1\r\nHost: test\r\n" +
                "Authorization: Bearer ${SampleDeclarations.PARKS_TOKEN}\r\n" +
                "Idempotency-Key: ${newKey()}\r\nContent-Type: ///\r\n" +
                "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
            val answer = exchangeRaw(head.encodeToByteArray())
            assertTrue("400" in answer && "urn:cowslipcart:problem:bad-request" in answer, answer)
        }
    }

    @Nested
    inner class Keys {
        @Test
        fun `a key that is missing or malformed is refused and nothing runs`() = runBlocking {
            val before = cluster.journal().size
            val version4 = "6f9619ff-8b86-4011-b42d-00cf4fc964ff"
            val wrongVariant = newKey().replaceRange(19, 20, "c")
            val keys = listOf(null, "", "abc", newKey().dropLast(1), version4, wrongVariant)
            for (key in keys) {
                assertProblem(daemon.signOff(key, "{}"), 400, "bad-request", "key $key")
            }
            assertEquals(before, cluster.journal().size)
        }

        @Test
        fun `a key that is too old or from the future is refused and nothing runs`() = runBlocking {
            val before = cluster.journal().size
            val nowMs = System.currentTimeMillis()
            val future = daemon.signOff(newKey(nowMs + 3_600_000), "{}")
            assertProblem(future, 422, "bad-request", "a key of the next hour")
            val past = daemon.signOff(newKey(nowMs - 7_200_000), "{}")
            assertProblem(past, 502, "outcome-unknown", "a key of two hours ago")
            assertEquals(before, cluster.journal().size)
        }
    }

    @Nested
    inner class Paths {
        @Test
        fun `a path that does not exist gets a problem document`() = runBlocking {
            val bearer = DaemonHandle.bearer(SampleDeclarations.PARKS_TOKEN)
            val paths = listOf("/services/none/x", "/services/records/none", "/none", "/v1/none")
            for (path in paths) {
                val request = HttpRequestData(daemon.url + path, "POST", bearer, ByteArray(0))
                assertProblem(HttpCaller.send(request), 404, "bad-request", path)
            }
        }

        @Test
        fun `a wrong method gets a problem document`() = runBlocking {
            val bearer = DaemonHandle.bearer(SampleDeclarations.PARKS_TOKEN)
            val request = HttpRequestData("${daemon.url}/v1/chat/completions", "GET", bearer)
            assertProblem(HttpCaller.send(request), 405, "bad-request", "GET of a chat")
        }
    }

    @Nested
    inner class RawHttp {
        @Test
        fun `bytes that are no HTTP request close the connection`() {
            val cases = listOf(
                "\u0000\u0001\u0002\u0003\r\n\r\n",
                "GET\r\n\r\n",
                "POST /v1/chat/completions HTTP/9.9\r\n\r\n",
                "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: many\r\n\r\n",
                "POST /v1/chat/completions HTTP/1.1\r\nno colon\r\n\r\n",
                "GET / HTTP/1.1\r\nX-Long: ${"v".repeat(100_000)}\r\n\r\n"
            )
            for (case in cases) {
                val answer = exchangeRaw(case.encodeToByteArray())
                val isRefused = answer.isEmpty() || Regex("HTTP/1.[01] [45]..").matchesAt(answer, 0)
                assertTrue(isRefused, "${case.take(60)}: expected an error, found $answer")
            }
        }

        @Test
        fun `a request whose body is cut off does not run`() {
            val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n" +
                "Authorization: Bearer ${SampleDeclarations.PARKS_TOKEN}\r\n" +
                "Content-Length: 500\r\n\r\n{\"model\":"
            val answer = exchangeRaw(head.encodeToByteArray())
            assertTrue("HTTP/1.1 200" !in answer, "expected no 200, found $answer")
        }
    }

    private fun exchangeRaw(bytes: ByteArray): String = RawSocket(daemon.httpPort).use {
        it.send(bytes)
        it.endOutput()
        it.readToEnd().decodeToString()
    }

    @Nested
    inner class Operators {
        @Test
        fun `a wrong operator token is refused with 401`() = runBlocking {
            for (path in listOf("config", "hosts", "endpoints", "log", "requests/x")) {
                val headers = DaemonHandle.bearer(SampleDeclarations.PARKS_TOKEN)
                val request = HttpRequestData("${daemon.url}/admin/$path", "GET", headers)
                assertProblem(HttpCaller.send(request), 401, "unauthenticated", path)
            }
        }

        @Test
        fun `a change that cannot be read is refused`() = runBlocking {
            val cases = listOf("", "{", "[]", "{\"baseRevision\":\"x\"}", "{\"preset\":\"peak\"}")
            for (path in listOf("publish", "preset")) {
                for (body in cases) {
                    val answer = HttpCaller.send(daemon.adminRequest(path, body))
                    assertProblem(answer, 400, "bad-request", "$path $body")
                }
            }
        }

        @Test
        fun `a preset that is not declared is refused and named in the error`() = runBlocking {
            val revision = daemon.config().revision
            val body = """{"baseRevision":$revision,"preset":"none","author":"test"}"""
            val answer = HttpCaller.send(daemon.adminRequest("preset", body))
            assertEquals(422, answer.status, "$answer")
            assertTrue("none" in answer.body, "$answer")
            assertEquals(revision, daemon.config().revision)
        }
    }

    @Nested
    inner class PeerPort {
        private fun connect() = RawSocket(daemon.peerPort)

        /** Connects and completes the handshake as a peer that knows the secret. */
        private fun connectAsPeer(): RawSocket = connect().also { socket ->
            val serverNonce = assertNotNull(socket.readFrame())
            val nonce = ByteArray(32) { it.toByte() }
            val proof = clientProof(DaemonHandle.PEER_SECRET, serverNonce, nonce, PEER_HOST_ID)
            socket.send(frame(PEER_HOST_ID.encodeToByteArray()) + frame(nonce) + frame(proof))
            assertEquals("host-1", assertNotNull(socket.readFrame()).decodeToString())
            assertNotNull(socket.readFrame())
        }

        /** Checks that the daemon closes the connection after [bytes] and accepts a new one. */
        private fun assertClosedAfter(bytes: ByteArray, case: String) = connect().use { socket ->
            assertNotNull(socket.readFrame(), case)
            socket.send(bytes)
            socket.readToEnd()
            connect().use {
                assertNotNull(it.readFrame(), "$case: expected a new connection to be accepted")
            }
        }

        @Test
        fun `a wrong proof closes the connection`() {
            val proof = clientProof("another secret", ByteArray(32), ByteArray(32), PEER_HOST_ID)
            val start = frame(PEER_HOST_ID.encodeToByteArray()) + frame(ByteArray(32))
            assertClosedAfter(start + frame(proof), "proof of another secret")
            assertClosedAfter(start + frame(ByteArray(0)), "empty proof")
        }

        @Test
        fun `a frame length that is out of range closes the connection`() {
            listOf(-1, Int.MIN_VALUE, Int.MAX_VALUE, 1024 * 1024 + 1).forEach {
                assertClosedAfter(lengthOf(it) + ByteArray(16), "length $it")
            }
        }

        @Test
        fun `bytes that are no handshake close the connection`() {
            assertClosedAfter("GET / HTTP/1.1\r\n\r\n".encodeToByteArray(), "an HTTP request")
            assertClosedAfter(ByteArray(64) { -1 }, "64 bytes FF")
        }

        @Test
        fun `a frame that ends early closes the connection`() {
            connectAsPeer().use { socket ->
                socket.send(lengthOf(100) + ByteArray(10))
                socket.endOutput()
                socket.readToEnd()
            }
            connectAsPeer().use { socket ->
                socket.send(lengthOf(Int.MAX_VALUE))
                socket.readToEnd()
            }
        }

        @Test
        fun `a frame that cannot be decoded gets an error and the connection is kept`() {
            connectAsPeer().use { socket ->
                val cases =
                    listOf(ByteArray(0), ByteArray(8), ByteArray(200) { -1 }, "text".toByteArray())
                for (case in cases) {
                    socket.send(frame(case))
                    assertNotNull(socket.readFrame(), "expected an error for ${case.size} bytes")
                }
            }
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 65_536
        const val CONCURRENT_TOKENS = 20
        const val PEER_HOST_ID = "host-9"
    }
}
