package cowslipcart.daemon.http1

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested

class HeadParserTest {
    private fun request(vararg lines: String): RequestHead =
        HeadParser.parseRequest(lines.joinToString("\r\n").toByteArray())

    @Nested
    inner class Framing {
        @Test
        fun `a length together with a transfer encoding is rejected`() {
            val head =
                request("POST /a HTTP/1.1", "Content-Length: 4", "Transfer-Encoding: chunked")
            assertFailsWith<MalformedMessageException> { HeadParser.requestFraming(head) }
        }

        @Test
        fun `two lengths are rejected`() {
            val head = request("POST /a HTTP/1.1", "Content-Length: 4", "content-length: 4")
            assertFailsWith<MalformedMessageException> { HeadParser.requestFraming(head) }
        }

        @Test
        fun `a length that is not a plain number is rejected`() {
            for (length in listOf(
                "+4",
                "-4",
                "4,4",
                "0x4",
                "4 4",
                "",
                "٤",
                "1234567890123456789"
            )) {
                val head = request("POST /a HTTP/1.1", "Content-Length: $length")
                assertFailsWith<MalformedMessageException>(length) {
                    HeadParser.requestFraming(head)
                }
            }
        }

        @Test
        fun `transfer encodings other than chunked are rejected`() {
            for (encoding in listOf("gzip, chunked", "xchunked", "identity", "chunked, chunked")) {
                val head = request("POST /a HTTP/1.1", "Transfer-Encoding: $encoding")
                assertFailsWith<MalformedMessageException>(encoding) {
                    HeadParser.requestFraming(head)
                }
            }
        }
    }

    @Nested
    inner class Lines {
        @Test
        fun `ambiguous header lines are rejected`() {
            val bad = listOf(
                "Content-Length : 4", " Folded: x", "\tFolded: x", "NoColon", ": x", "A: b\nC: d",
                "A: b\rC: d", "A\u0000: b", "Näme: x"
            )
            for (line in bad) {
                assertFailsWith<MalformedMessageException>(line) {
                    request("GET /a HTTP/1.1", line)
                }
            }
        }

        /** Guards against answers of endpoints in trouble that reach callers with their status. */
        @Test
        fun `a status that no answer can have is rejected`() {
            for (status in listOf("000", "001", "099", "600", "999", "20", "2000", "abc", "-10")) {
                assertFailsWith<MalformedMessageException>(status) {
                    HeadParser.parseResponse("HTTP/1.1 $status Odd\r\n\r\n".toByteArray())
                }
            }
        }

        @Test
        fun `malformed request lines are rejected`() {
            val bad = listOf(
                "GET /a",
                "GET  /a HTTP/1.1",
                "GET a HTTP/1.1",
                "GET /a HTTP/2.0",
                "G T /a HTTP/1.1",
                "GET http://x/a HTTP/1.1",
                ""
            )
            for (line in bad) {
                assertFailsWith<MalformedMessageException>(line) { request(line, "Host: x") }
            }
        }

        @Test
        fun `the target is not decoded and header values are trimmed`() {
            val head = request("PUT /a%20b/?q=1&r= HTTP/1.1", "X-One:  two \t", "x-one: three")
            assertEquals("/a%20b/?q=1&r=", head.target)
            assertEquals(listOf("two", "three"), head.headers.all("X-ONE"))
        }
    }

    @Nested
    inner class RandomInput {
        /**
         * Guards against input that fails with an exception that no caller of the parser handles.
         */
        @Test
        fun `ten thousand random heads are parsed or rejected as malformed`() {
            val random = Random(SEED)
            val valid = "POST /a?c HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\nA: b".toByteArray()
            repeat(10_000) {
                val bytes = valid.copyOf()
                repeat(random.nextInt(1, 6)) {
                    bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte()
                }
                val cut = bytes.copyOf(random.nextInt(bytes.size + 1))
                for (parse in listOf(::parseRequestFraming, ::parseResponseFraming)) {
                    try {
                        parse(cut)
                    } catch (_: MalformedMessageException) {
                        continue
                    }
                }
            }
        }

        private fun parseRequestFraming(bytes: ByteArray) {
            HeadParser.requestFraming(HeadParser.parseRequest(bytes))
        }

        private fun parseResponseFraming(bytes: ByteArray) {
            HeadParser.responseFraming(HeadParser.parseResponse(bytes), "GET")
        }
    }

    private companion object {
        const val SEED = 20_261_204
    }
}
