package cowslipcart.experiment.scenario

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One step of a scenario, as docs/scenarios.md describes it. */
internal sealed interface Step {
    /** A caller makes a request. */
    @Serializable
    data class Send(
        val request: String,
        val host: String,
        val route: RouteName = RouteName.CHAT,
        val key: String? = null,
        val content: String? = null,
        val organisation: String = "city-parks",
        val tier: Int = 0,
        val promptTokens: Int = 100,
        val outputTokens: Int = 20,
        val deadlineMs: Long? = null,
        val session: String? = null
    ) : Step

    /** A caller makes the request [of] again; what is not given stays the same. */
    @Serializable
    data class Resend(
        val of: String,
        val request: String,
        val host: String,
        val key: String? = null,
        val content: String? = null,
        val organisation: String? = null
    ) : Step

    /** A caller of [organisation] asks [host] for the outcome of [request]. */
    @Serializable
    data class Ask(
        val question: String,
        val request: String,
        val host: String,
        val organisation: String
    ) : Step

    @Serializable
    data class Pause(val host: String, val before: PausePoint? = null) : Step

    data class Wake(val host: String) : Step

    data class Kill(val host: String) : Step

    data class Restart(val host: String) : Step

    /** Cuts [hosts] off from all others; they still reach each other. */
    data class Cut(val hosts: List<String>) : Step

    /** Ends network cuts, log outages or both, with the slowness of each. */
    data class Heal(val target: HealTarget) : Step

    /** Makes the log unreachable for [hosts]; an empty list means all. */
    @Serializable
    data class Outage(val hosts: List<String> = emptyList()) : Step

    /** Sets the delay of log calls or of messages, or the slowness factor of an endpoint. */
    @Serializable
    data class Slow(
        val logMs: Long? = null,
        val networkMs: Long? = null,
        val endpoint: String? = null,
        val factor: Int = 1
    ) : Step

    /** The next [count] appends of claims take effect and their acknowledgements are lost. */
    data class LoseAck(val count: Int) : Step

    /** Removes all claims from the log, as retention does with old ones. */
    data object Trim : Step

    /** An operator declares an organisation or drains an endpoint. */
    @Serializable
    data class Publish(
        val change: String,
        val host: String,
        val organisation: String? = null,
        val drainEndpoint: String? = null,
        val base: Long? = null
    ) : Step

    /** An operator puts a preset in force. */
    @Serializable
    data class Switch(
        val change: String,
        val host: String,
        val preset: String,
        val base: Long? = null
    ) : Step

    /** A host shuts down gracefully. */
    @Serializable
    data class Drain(val host: String, val limitMs: Long = 30_000) : Step

    data class CrashEndpoint(val endpoint: String) : Step

    data class RecoverEndpoint(val endpoint: String) : Step

    data class LeaveEndpoint(val endpoint: String) : Step

    /** Breaks the connection between host and endpoint while the endpoint continues the call. */
    data class BreakStream(val request: String) : Step

    data class Advance(val durationMs: Long) : Step

    /** States what must hold now. */
    @Serializable
    data class Expect(
        val request: String? = null,
        @SerialName("is") val status: String? = null,
        val ran: Int? = null,
        val key: String? = null,
        val host: String? = null,
        val ready: Boolean? = null,
        val preset: String? = null,
        val revision: Long? = null,
        val openRequests: Int? = null,
        val endpoint: String? = null,
        val noNewWorkAfterMs: Long? = null,
        val up: Boolean? = null,
        val crashedEndpoints: Int? = null,
        val change: String? = null,
        val question: String? = null
    ) : Step
}

/** Name of a [Route] in a file. */
@Serializable
internal enum class RouteName(val route: Route) {
    @SerialName("chat")
    CHAT(Route.CHAT),

    @SerialName("sign-off")
    SIGN_OFF(Route.SIGN_OFF),

    @SerialName("stock")
    STOCK(Route.STOCK)
}

/** What a `heal` step ends. */
@Serializable
internal enum class HealTarget {
    @SerialName("network")
    NETWORK,

    @SerialName("log")
    LOG,

    @SerialName("all")
    ALL
}
