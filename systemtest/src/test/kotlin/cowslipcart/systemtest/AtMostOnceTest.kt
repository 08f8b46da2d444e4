package cowslipcart.systemtest

import cowslipcart.core.claims.ClaimItem
import cowslipcart.wire.log.LogCodec
import java.util.Base64
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/**
 * Guards against a sign-off, a call with an idempotency key, that runs twice when it is sent more
 * than once.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class AtMostOnceTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking { cluster = Cluster.start() }

    @AfterAll
    fun stopCluster() = cluster.close()

    /** Resends [key] to [daemon] while it answers 409, which means that an attempt still runs. */
    private suspend fun awaitOutcome(daemon: DaemonHandle, key: String, body: String): HttpAnswer =
        awaitValue("an outcome of $key on ${daemon.hostId}", SHORT_BOUND_MS) {
            daemon.signOff(key, body).takeIf { it.status != 409 }
        }

    @Nested
    inner class SameContent {
        @Test
        fun `a key runs once when three daemons get it at the same time`() = runBlocking {
            val key = newKey()
            coroutineScope {
                cluster.daemons.map { async { it.signOff(key, BODY) } }.awaitAll()
            }
            val answers = cluster.daemons.map { awaitOutcome(it, key, BODY) }
            assertEquals(listOf(201, 201, 201), answers.map { it.status }, "$answers")
            assertEquals(1, answers.map { it.body }.distinct().size, "$answers")
            assertEquals(1, cluster.runCount(key))
        }

        @Test
        fun `a key runs once when three daemons get it one after the other`() = runBlocking {
            val key = newKey()
            val answers = cluster.daemons.map { it.signOff(key, BODY) }
            assertEquals(listOf(201, 201, 201), answers.map { it.status }, "$answers")
            assertEquals(1, answers.map { it.body }.distinct().size, "$answers")
            assertEquals(1, cluster.runCount(key))
        }

        @Test
        fun `a key runs once when many copies reach each daemon at the same time`() = runBlocking {
            val keys = List(10) { newKey() }
            coroutineScope {
                keys.flatMap { key ->
                    cluster.daemons.flatMap { daemon ->
                        List(3) { async { daemon.signOff(key, BODY) } }
                    }
                }.awaitAll()
            }
            assertEquals(keys.associateWith { 1 }, keys.associateWith { cluster.runCount(it) })
        }
    }

    @Nested
    inner class OtherContent {
        @Test
        fun `a key with other content is refused and does not run`() = runBlocking {
            val key = newKey()
            assertEquals(201, cluster.daemons[0].signOff(key, BODY).status)
            for (daemon in cluster.daemons) {
                val answer = daemon.signOff(key, """{"frame":"another"}""")
                assertEquals(422, answer.status, "$answer")
                assertEquals("bad-request", answer.problem, "$answer")
            }
            assertEquals(1, cluster.runCount(key))
        }
    }

    @Nested
    inner class KilledDaemon {
        @AfterEach
        fun awaitReplacement() = runBlocking { cluster.awaitReady() }

        @Test
        fun `a sign-off whose daemon is killed while it runs never runs again`() = runBlocking {
            val key = newKey()
            cluster.service.post("/control", """{"delay_ms":1500}""")
            coroutineScope {
                val request = cluster.daemons[0].signOffRequest(key, BODY)
                val first = async { HttpCaller.trySend(request) }
                awaitTrue("the sign-off to run") {
                    !cluster.service.get("/load").contains("\"running\":0")
                }
                cluster.replaceDaemon(0)
                first.await()
            }
            val answer = awaitOutcome(cluster.daemons[1], key, BODY)
            assertTrue(
                answer.status == 201 || answer.problem == "outcome-unknown",
                "expected the answer or outcome-unknown, found $answer"
            )
            awaitTrue("the sign-off to end") {
                cluster.service.get("/load").contains("\"running\":0")
            }
            cluster.service.post("/control", """{"delay_ms":0}""")
            cluster.awaitReady()
            awaitOutcome(cluster.daemons[2], key, BODY)
            assertEquals(1, cluster.runCount(key))
        }

        @Test
        fun `an answer in the log is returned after its daemon was killed`() = runBlocking {
            val key = newKey()
            val first = cluster.daemons[2].signOff(key, BODY)
            assertEquals(201, first.status, "$first")
            awaitTrue("the outcome record of $key in the log") { hasOutcomeRecord(key) }
            cluster.replaceDaemon(2)
            val answer = awaitOutcome(cluster.daemons[1], key, BODY)
            assertEquals(201 to first.body, answer.status to answer.body, "$answer")
            assertEquals(1, cluster.runCount(key))
        }

        private suspend fun hasOutcomeRecord(key: String): Boolean = (0 until 8).any { partition ->
            val page = cluster.log.get("/streams/claims-$partition/records?from=0&max=10000")
            Json.parseToJsonElement(page).jsonObject.getValue("records").jsonArray.any { record ->
                val payload = record.jsonObject.getValue("payload").jsonPrimitive.content
                LogCodec.decodeClaims(Base64.getDecoder().decode(payload)).getOrNull().orEmpty()
                    .any { it is ClaimItem.Outcome && it.key.uuid == key }
            }
        }
    }

    private companion object {
        const val BODY = """{"frame":"F-17"}"""
    }
}
