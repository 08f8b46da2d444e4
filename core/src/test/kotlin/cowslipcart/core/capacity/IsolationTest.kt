package cowslipcart.core.capacity

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a suspect that runs beside other requests or takes too much capacity. */
class IsolationTest {
    private val scheduler = schedulerOf(config(endpoint("a"), endpoint("b")))

    private fun submit(id: String, tier: Int = 1, isSuspect: Boolean = false, nowMs: Long = 0) =
        scheduler.submit(request(id, tier, isSuspect = isSuspect, isInterruptible = false), nowMs)

    @Nested
    inner class Alone {
        @Test
        fun `nothing starts beside a suspect`() {
            val suspect = submit("suspect", isSuspect = true).grantedEndpoint
            val others = listOf("r1", "r2").map { submit(it).grantedEndpoint }
            assertEquals(emptyList(), others.filter { it == suspect })
            assertEquals(emptyList(), submit("r3"))
        }

        @Test
        fun `a suspect waits until its endpoint is empty`() {
            val grants = listOf("r1", "r2").map { submit(it).grants.single() }
            assertEquals(emptyList(), submit("suspect", isSuspect = true))
            val next = grants.flatMap { scheduler.release(report(it.grantId), 10) }
            assertEquals(listOf("suspect"), next.ids)
        }

        @Test
        fun `the endpoint gets no other work while it is being emptied`() {
            val grants = listOf("r1", "r2").map { submit(it).grants.single() }
            submit("suspect", isSuspect = true)
            val later = listOf("r3", "r4").flatMap { submit(it).grants }
            assertEquals(1, later.size)
            val emptied = grants.map { it.endpoint }.single { it != later[0].endpoint }
            val released = grants.single { it.endpoint == emptied }
            val next = scheduler.release(report(released.grantId), 10)
            assertEquals(listOf("suspect"), next.ids)
        }

        @Test
        fun `the endpoint reopens when the suspect ends`() {
            val suspect = submit("suspect", isSuspect = true).grants.single()
            listOf("r1", "r2", "r3").forEach { submit(it) }
            val next = scheduler.release(report(suspect.grantId), 10)
            assertEquals(
                listOf("r3" to suspect.endpoint),
                next.grants.map {
                    it.request.requestId.value to
                        it.endpoint
                }
            )
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `only one endpoint is being emptied at a time`() {
            repeat(2) { submit("r$it") }
            repeat(2) { submit("suspect-$it", isSuspect = true) }
            assertEquals(1, submit("r2").grants.size)
        }

        @Test
        fun `a request of a higher tier takes an endpoint that is being emptied`() {
            val grants = List(4) { submit("r$it").grants.single() }
            submit("suspect", tier = 2, isSuspect = true)
            submit("top", tier = 0)
            assertEquals(listOf("top"), scheduler.release(report(grants[0].grantId), 10).ids)
        }

        @Test
        fun `the endpoint reopens when the queued suspect is cancelled`() {
            repeat(2) { submit("r$it") }
            submit("suspect", isSuspect = true)
            submit("r2")
            scheduler.cancel(request("suspect").requestId, 10)
            assertEquals(1, submit("r3").grants.size)
        }
    }
}
