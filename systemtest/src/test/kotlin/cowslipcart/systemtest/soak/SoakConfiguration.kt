package cowslipcart.systemtest.soak

import cowslipcart.systemtest.GatewayCluster
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Kinds of change of the configuration; routes that callers use stay valid in all of them. */
internal enum class ConfigurationChange {
    MOVED_ROUTE,
    SPLIT_WEIGHTS,
    EXTRA_ROUTE,
    TIMEOUTS,
    IDLE_LIMIT,
    KEYS,
    QUOTA,
    MANY_ROUTES
}

/** The operator's configuration of a soak; [change] alters one part of it. */
internal class SoakConfiguration(
    private val cluster: GatewayCluster,
    private val log: SoakLog,
    private val random: Random
) {
    private var orderService = "desk"
    private var readTarget = service("desk")
    private var hasExtraRoute = false
    private var plainTimeoutMs = PLAIN_TIMEOUT_MS
    private var chatTimeoutMs = CHAT_TIMEOUT_MS
    private var idleTimeoutMs = IDLE_LIMITS_MS.last()
    private var hasRemovedKey = true
    private var spareKeys = emptyList<String>()
    private var ratePerS = NO_QUOTA
    private var fillerCount = 0

    /** Publishes the first configuration. */
    @Synchronized
    fun start() = publish("start")

    /** Applies a random change of [kind]. */
    @Synchronized
    fun change(kind: ConfigurationChange) {
        when (kind) {
            ConfigurationChange.MOVED_ROUTE -> {
                orderService = SERVICES.random(random)
                readTarget = service(SERVICES.random(random))
            }

            ConfigurationChange.SPLIT_WEIGHTS -> readTarget = split(random.nextDouble())

            ConfigurationChange.EXTRA_ROUTE -> hasExtraRoute = !hasExtraRoute

            ConfigurationChange.TIMEOUTS -> {
                plainTimeoutMs = TIMEOUTS_MS.random(random)
                chatTimeoutMs = TIMEOUTS_MS.random(random)
            }

            ConfigurationChange.IDLE_LIMIT -> idleTimeoutMs = IDLE_LIMITS_MS.random(random)

            ConfigurationChange.KEYS ->
                spareKeys = List(random.nextInt(MAX_SPARE_KEYS)) { "spare-${random.nextInt()}" }

            ConfigurationChange.QUOTA -> ratePerS = RATES_PER_S.random(random)

            ConfigurationChange.MANY_ROUTES ->
                fillerCount = if (fillerCount == 0) FILLER_ROUTES else 0
        }
        publish("$kind")
    }

    /** Publishes random changes every [STORM_INTERVAL_MS] for [durationMs]. */
    fun storm(durationMs: Long) = repeat((durationMs / STORM_INTERVAL_MS).toInt() + 1) {
        change(ConfigurationChange.entries.random(random))
        TimeUnit.MILLISECONDS.sleep(STORM_INTERVAL_MS)
    }

    /** Removes the second key for good. */
    @Synchronized
    fun removeKey() {
        if (!hasRemovedKey) return
        hasRemovedKey = false
        log.keyRemovedAtMs = log.nowMs()
        publish("key removed")
    }

    /**
     * Returns to the first quota and timeouts, with which the requests of callers can be served.
     */
    @Synchronized
    fun restoreLimits() {
        ratePerS = NO_QUOTA
        plainTimeoutMs = PLAIN_TIMEOUT_MS
        chatTimeoutMs = CHAT_TIMEOUT_MS
        publish("limits restored")
    }

    private fun publish(what: String) {
        log.shortestTimeoutMs = minOf(log.shortestTimeoutMs, plainTimeoutMs, chatTimeoutMs)
        val keys = listOf(GatewaySoak.KEPT_KEY) + spareKeys +
            listOfNotNull(GatewaySoak.REMOVED_KEY.takeIf { hasRemovedKey })
        log.onIdleLimit(idleTimeoutMs)
        cluster.publish(routes().joinToString(","), keys, ratePerS, idleTimeoutMs)
        log.note("configuration: $what")
    }

    private fun routes(): List<String> {
        val extra = plain("extra", "/extra/", "idempotent", service("counter"), 2)
        val fillers = List(fillerCount) {
            plain("filler-$it", "/filler-$it/", "idempotent", service("desk"), 2)
        }
        return listOf(
            chat(),
            plain("read", "/read/", "idempotent", readTarget, 2),
            plain("order", "/order/", "non_idempotent", service(orderService), 1)
        ) + listOfNotNull(extra.takeIf { hasExtraRoute }) + fillers
    }

    private fun chat() = """{"name":"chat","host":"shop.example","pathPrefix":"/chat/",""" +
        """"kind":"streaming","timeoutMs":$chatTimeoutMs,"targetLatencyMs":500,"priority":0,""" +
        """"service":"model","maxAttempts":2,"sticky":true,"streamResume":true,""" +
        """"gapTargetMs":250}"""

    private fun plain(
        name: String,
        prefix: String,
        kind: String,
        target: String,
        maxAttempts: Int
    ) = """{"name":"$name","host":"shop.example","pathPrefix":"$prefix","kind":"$kind",""" +
        """"timeoutMs":$plainTimeoutMs,"targetLatencyMs":300,"priority":2,""" +
        """$target,"maxAttempts":$maxAttempts}"""

    private fun service(name: String) = """"service":"$name""""

    private fun split(share: Double) = """"trafficSplit":[{"service":"desk","weight":$share},""" +
        """{"service":"counter","weight":${1 - share}}]"""

    private companion object {
        const val PLAIN_TIMEOUT_MS = 2_000L
        const val CHAT_TIMEOUT_MS = 4_000L
        const val NO_QUOTA = 1_000_000
        const val FILLER_ROUTES = 400
        const val MAX_SPARE_KEYS = 40
        const val STORM_INTERVAL_MS = 300L
        val SERVICES = listOf("desk", "counter")
        val TIMEOUTS_MS = listOf(1_800L, 2_500L, 4_000L)

        /** The lower one is the shortest that the platform may set; callers keep to four fifths. */
        val IDLE_LIMITS_MS = listOf(1_000L, 2_000L, 5_000L)

        /** Tokens a second; the middle one refuses a part of the requests. */
        val RATES_PER_S = listOf(4_000, 20_000, NO_QUOTA)
    }
}
