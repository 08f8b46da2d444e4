package cowslipcart.experiment.scenario

import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Guards against mistakes in scenario files and wrong expectations that go unnoticed. */
class ScenarioParserTest {
    private fun errorOf(text: String): ScenarioError =
        assertNotNull(parseScenario("f.yaml", text.trimIndent()).leftOrNull())

    private fun resultOf(text: String): ScenarioResult {
        val scenario = parseScenario("f.yaml", text.trimIndent()).getOrNull()
        return runScenario(assertNotNull(scenario))
    }

    @Nested
    inner class Mistakes {
        @Test
        fun `an unknown step names file and line`() {
            val error = errorOf(
                """
                about: x
                steps:
                  - advance: 1
                  - sned: {request: a, host: host-1}
                """
            )
            assertTrue(error.toString().startsWith("f.yaml:4: expected one of the steps"))
        }

        @Test
        fun `an unknown field of a step names file and line`() {
            val error = errorOf(
                """
                about: x
                steps:
                  - send: {request: a, host: host-1, hots: 2}
                """
            )
            assertEquals(3, error.line, error.toString())
            assertTrue("hots" in error.detail, error.toString())
        }

        @Test
        fun `an unknown field of the file names file and line`() {
            val error = errorOf("about: x\nhots: 2\nsteps: []")
            assertEquals(2, error.line, error.toString())
        }

        @Test
        fun `two steps on one line are refused`() {
            val error = errorOf("about: x\nsteps:\n  - {advance: 1, wake: host-1}")
            assertEquals(3, error.line, error.toString())
        }
    }

    @Nested
    inner class Expectations {
        @Test
        fun `a wrong expectation fails with its line`() {
            val result = resultOf(
                """
                about: x
                steps:
                  - send: {request: a, host: host-1}
                  - advance: 2000
                  - expect: {request: a, is: not-run}
                """
            )
            val failed = assertIs<ScenarioResult.Failed>(result)
            assertEquals(5, failed.line)
            assertEquals("expect: expected not-run, found answered", failed.detail)
        }

        @Test
        fun `an unknown host fails with its line`() {
            val result = resultOf("about: x\nsteps:\n  - kill: host-9")
            assertEquals(3, assertIs<ScenarioResult.Failed>(result).line)
        }

        @Test
        fun `the same seed gives the same trace`() {
            val traces = (1..2).map {
                val world = World(WorldSetup(seed = 7))
                world.start()
                val step = Step.Send("a", "host-1", RouteName.SIGN_OFF, key = "k")
                assertNull(Script(world).run(step))
                world.time.advance(2_000)
                world.time.trace
            }
            assertEquals(traces[0], traces[1])
        }
    }
}
