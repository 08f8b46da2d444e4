package cowslipcart.standins.hop

import cowslipcart.standins.engine.ChatMessage
import cowslipcart.standins.load.LoadTarget

/**
 * Plan of a measurement that sends the same requests directly to an engine and through a daemon.
 *
 * @property engine server that is asked directly
 * @property daemon server that passes the requests on to the same engine
 * @property warmUp level that runs first and is not counted, so that the code of all processes is
 * compiled before the first measured round
 * @property warmUpRounds rounds of each level that are not counted
 * @property promptWords words in a prompt; below one prefix block, so that the first of two equal
 * prompts leaves nothing in the prefix cache for the second
 * @property spreadMs time over which the requests of a round start, so that they do not all begin
 * in the same step of the engine
 */
internal data class HopPlan(
    val engine: LoadTarget,
    val daemon: LoadTarget,
    val warmUp: HopLevel,
    val levels: List<HopLevel>,
    val warmUpRounds: Int,
    val promptWords: Int,
    val maxTokens: Int,
    val spreadMs: Long,
    val seed: Long
) {
    /** Returns the prompt of one stream, which is the same on both paths. */
    fun messages(level: HopLevel, round: Int, stream: Int): List<ChatMessage> {
        val content = (0 until promptWords).joinToString(" ") {
            "h${seed}l${level.streams}r${round}s${stream}n$it"
        }
        return listOf(ChatMessage("user", content))
    }
}

/** [rounds] measured rounds, each with [streams] concurrent streams on each path. */
internal data class HopLevel(val streams: Int, val rounds: Int)

/** Whether a request goes directly to the engine or through the daemon. */
internal enum class HopPath { DIRECT, DAEMON }
