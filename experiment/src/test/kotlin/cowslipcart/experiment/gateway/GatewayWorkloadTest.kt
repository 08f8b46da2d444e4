package cowslipcart.experiment.gateway

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Runs the gateway workloads that model the deployments. The bounds are the targets of the
 * deployments.
 */
class GatewayWorkloadTest {
    private fun load(name: String): GatewayWorkload = assertNotNull(
        parseGatewayWorkload(File("../gateway-workloads/$name.yaml").readText()).getOrNull()
    )

    private fun kind(result: GatewayResult, rank: Int): KindResult = result.kinds[rank]

    private fun KindResult.servedShare() = (onTime + lateFirstEvent + lateGap).toDouble() / asked

    @Nested
    inner class Bursts {
        /**
         * Guards against starvation of one kind (tags) while requests with long answers occupy all
         * slots: with a reservation by tier alone, 0.74 of the tags of playsafe-scale were refused.
         */
        @Test
        fun `the served share of each kind in a burst exceeds half of the average`() {
            for (name in listOf("playsafe-scale", "hamasaki-scale")) {
                val result = runGatewayWorkload(load(name), seed = 1)
                val shares = result.kinds.map { it.servedShare() }
                assertTrue(shares.min() > shares.average() / 2, "$name: found $shares")
            }
        }

        /** Guards against starvation of the largest requests of a kind under sustained overload. */
        @Test
        fun `the largest requests of each kind are served half as often as the kind at least`() {
            for ((name, seed) in listOf("playsafe-grown-scale" to 1L, "shared-machines" to 2L)) {
                for (kind in runGatewayWorkload(load(name), seed).kinds) {
                    val half = kind.servedShare() / 2
                    assertTrue(kind.largestTenthServed >= half, "$name: found $kind")
                    assertTrue(kind.nextFifthServed >= half, "$name: found $kind")
                }
            }
        }

        /**
         * Guards against small requests that keep the free share below what large ones need, for as
         * long as a burst lasts.
         */
        @Test
        fun `the largest requests are served half as often in a burst without a pause`() {
            for (name in listOf("playsafe-grown-scale", "shared-machines")) {
                val burst = Burst(fromMs = 900, untilMs = 13_400, factor = 2.0)
                val workload = load(name).copy(bursts = listOf(burst))
                for (kind in runGatewayWorkload(workload, seed = 1).kinds) {
                    val half = kind.servedShare() / 2
                    assertTrue(kind.largestTenthServed >= half, "$name: found $kind")
                    assertTrue(kind.nextFifthServed >= half, "$name: found $kind")
                }
            }
        }

        /** Guards against bursts that delay the most urgent kind more than the others. */
        @Test
        fun `the most urgent kind is on time at least as often as the others`() {
            for (name in listOf("playsafe-scale", "hamasaki-scale")) {
                val result = runGatewayWorkload(load(name), seed = 2)
                val onTime = result.kinds.map { it.onTime.toDouble() / it.asked }
                assertEquals(onTime.max(), onTime.first(), 0.05, "$name: found $onTime")
            }
        }
    }

    @Nested
    inner class Calm {
        @Test
        fun `more than nine tenths of the worth is earned without overload`() {
            val result = runGatewayWorkload(load("hamasaki-calm"), seed = 1)
            assertTrue(result.share > 0.9, "found ${result.share}")
            assertTrue(kind(result, 0).refused == 0)
        }
    }

    /**
     * Guards against requests for engines that leave or want none, and against a burst that is
     * worse served than the capacity that is left allows.
     */
    @Nested
    inner class Notices {
        private val notices = listOf(
            EngineNotice(engine = 0, atMs = 3_000),
            EngineNotice(engine = 1, atMs = 4_000, backoffMs = 3_000),
            EngineNotice(engine = 3, atMs = 6_000, backoffMs = 2_000),
            EngineNotice(engine = 4, atMs = 9_000)
        )

        @Test
        fun `engines that leave or back off under load get nothing`() {
            for (name in listOf("playsafe-scale", "hamasaki-scale", "playsafe-calm")) {
                val workload = load(name).copy(notices = notices)
                val result = runGatewayWorkload(workload, seed = 1)
                assertEquals(0, result.unheededNotices, name)
            }
        }

        @Test
        fun `a calm day with engines that back off in turn refuses nothing urgent`() {
            val inTurn = (0..5).map { EngineNotice(it, atMs = 2_000L + 2_000 * it, 1_500) }
            val workload = load("hamasaki-calm").copy(notices = inTurn)
            val result = runGatewayWorkload(workload, seed = 1)
            assertEquals(0, kind(result, 0).refused)
            assertTrue(result.share > 0.85, "found ${result.share}")
        }
    }

    @Nested
    inner class Crashes {
        /** Guards against engines that have crashed and attract a request of each host. */
        @Test
        fun `most hosts learn of crashed engines without a failed contact`() {
            val workload = load("playsafe-grown-crash")
            val result = runGatewayWorkload(workload, seed = 1)
            val ofEach = workload.hosts * workload.crashes.sumOf { it.engines }
            assertTrue(result.failedContacts < ofEach / 2, "found ${result.failedContacts}")
        }
    }

    @Nested
    inner class ShippedFiles {
        @Test
        fun `all are valid and named like their file`() {
            val files = File("../gateway-workloads").listFiles().orEmpty()
            assertTrue(files.isNotEmpty())
            for (file in files) {
                assertEquals(
                    file.nameWithoutExtension,
                    load(file.nameWithoutExtension).name
                )
            }
        }
    }

    @Nested
    inner class Repeatable {
        @Test
        fun `the same seed gives the same result`() {
            val workload = load("playsafe-calm").copy(durationMs = 3_000)
            assertEquals(runGatewayWorkload(workload, 5), runGatewayWorkload(workload, 5))
        }
    }
}
