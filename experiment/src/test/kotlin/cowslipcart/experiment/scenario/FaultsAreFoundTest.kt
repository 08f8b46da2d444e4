package cowslipcart.experiment.scenario

import cowslipcart.core.host.HostController
import cowslipcart.core.host.PeerMessage
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory

/** Guards against checks that cannot fail: each injected fault has to make one of them fail. */
class FaultsAreFoundTest {
    @Nested
    inner class ByScenarios {
        @TestFactory
        fun `a fault makes its scenario fail`(): List<DynamicTest> = SCENARIOS.map { (file, wrap) ->
            DynamicTest.dynamicTest(file) {
                val result = runScenario(ScenarioFilesTest.load("$file.yaml"), faulty(wrap))
                val failed = assertIs<ScenarioResult.Failed>(result, "expected a failure in $file")
                println("$file: ${failed.line}: ${failed.detail}")
            }
        }
    }

    @Nested
    inner class ByHistories {
        @TestFactory
        fun `a fault makes a history fail`(): List<DynamicTest> = HISTORIES.map { (name, wrap) ->
            DynamicTest.dynamicTest(name) {
                val seed = (1L..MAX_SEEDS).firstOrNull { History(it, faulty(wrap)).run().any() }
                assertNotNull(seed, "expected a violation within $MAX_SEEDS seeds, found none")
                println("$name: found by seed $seed: ${History(seed, faulty(wrap)).run().first()}")
            }
        }
    }

    private companion object {
        const val MAX_SEEDS = 300L

        val SCENARIOS: Map<String, (HostController) -> HostController> = mapOf(
            "resend-while-first-is-paused-after-claim" to ::WithoutClaims,
            "resend-while-first-has-unread-win" to ::WithoutClaims,
            "resend-after-kill" to ::WithoutClaims,
            "resend-chat-after-kill" to ::WithoutClaims,
            "network-cut" to ::WithoutClaims,
            "lost-acknowledgement" to ::ForgetsLostAppends,
            "outage" to ::AnswersNotRunWithoutAsking,
            "retention-trim" to ::HidesRetention,
            "operators-race" to ::IgnoresBaseRevision,
            "preset-survives-outage" to ::RevertsConfiguration,
            "not-ready-without-peer" to ::AlwaysReady,
            "not-ready-behind-stale-peer" to ::TrustsOldLogReads,
            "ready-through-peer" to
                { inner -> DropsMessages(inner) { it is PeerMessage.ConfigReply } },
            "endpoint-leaves-while-list-lags" to ::IgnoresLeaving,
            "paused-host-wakes-with-grant" to ::IgnoresGrantAge,
            "graceful-drain" to ::CutsStreamsOnDrain,
            "poison-request" to
                { inner -> DropsMessages(inner) { it is PeerMessage.CrashNotice } },
            "shard-owner-killed" to
                { inner -> DropsMessages(inner) { isRepeatedAsk(it) } },
            "give-way" to ::RestartsStreams,
            "late-answer" to ::AcceptsLateAnswers,
            "other-organisation" to ::IgnoresOrganisation,
            "limit" to ::IgnoresSize,
            "full-shard-next-has-lower-tier" to ::ShedsAfterOneShard,
            "full-shard-next-is-silent" to ::TakesSilenceForFull
        )

        val HISTORIES: Map<String, (HostController) -> HostController> = mapOf(
            "dispatch without claim" to ::WithoutClaims,
            "not-run without asking" to ::AnswersNotRunWithoutAsking,
            "no notice of leaving" to ::IgnoresLeaving,
            "late answers accepted" to ::AcceptsLateAnswers,
            "streams restarted" to ::RestartsStreams,
            "configuration reverted" to ::RevertsConfiguration,
            "old reads of the log trusted" to ::TrustsOldLogReads,
            "retention hidden" to ::HidesRetention
        )

        fun isRepeatedAsk(message: PeerMessage) =
            message is PeerMessage.AskCapacity && message.askCount > 1
    }
}
