package cowslipcart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import cowslipcart.core.host.DEFAULT_CACHE_READ_BYTES_PER_S

/** Exit status for settings that cannot be used. */
public const val EXIT_BAD_SETTINGS: Int = 2

/** Command line of `cowslipcartd`. Each flag can be set by the environment variable in its help. */
internal class DaemonCommand : CliktCommand(name = "cowslipcartd") {
    private val hostId by flag("--host-id", "name of this host, unique among all hosts")
    private val failureDomain by flag("--failure-domain", "failure domain of this host")
    private val httpListen by flag("--http-listen", "IP:PORT for callers, operators and metrics")
    private val peerListen by flag("--peer-listen", "IP:PORT for the other hosts")
    private val logUrl by flag("--log-url", "http://IP:PORT of the platform's log")
    private val hostListUrl by flag("--host-list-url", "http://IP:PORT of the list of hosts")
    private val peerSecret by flag("--peer-secret", "secret that all hosts share")
    private val operatorToken by flag("--operator-token", "bearer token of operators")
    private val drainNoticeMs by flag(
        "--drain-notice-ms",
        "time between not ready and the first refused request of a shutdown"
    ).default("2000")
    private val drainLimitMs by flag(
        "--drain-limit-ms",
        "time after which a shutdown ends requests that wait for capacity"
    ).default("30000")
    private val maxBodyBytes by flag("--max-body-bytes", "largest request body").default("4194304")
    private val streamIdleTimeoutMs by flag(
        "--stream-idle-timeout-ms",
        "longest silence of an endpoint"
    ).default("60000")
    private val cacheReadBytesPerS by flag(
        "--cache-read-bytes-per-s",
        "most that is read of cache events on average; 0 for none"
    ).default(DEFAULT_CACHE_READ_BYTES_PER_S.toString())
    private val logFormat by flag("--log-format", "text or json").default("text")

    override fun help(context: Context): String =
        "Entry host of cowslipcart: takes requests and schedules them on endpoints."

    override fun run() {
        val raw = RawSettings(
            hostId = hostId,
            failureDomain = failureDomain,
            httpListen = httpListen,
            peerListen = peerListen,
            logUrl = logUrl,
            hostListUrl = hostListUrl,
            peerSecret = peerSecret,
            operatorToken = operatorToken,
            drainNoticeMs = drainNoticeMs,
            drainLimitMs = drainLimitMs,
            maxBodyBytes = maxBodyBytes,
            streamIdleTimeoutMs = streamIdleTimeoutMs,
            cacheReadBytesPerS = cacheReadBytesPerS,
            logFormat = logFormat
        )
        checkSettings(raw).fold(
            { error ->
                error.faults.forEach { echo(it, err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            },
            { runDaemon(it) }
        )
    }

    private fun flag(name: String, help: String) = option(
        name,
        help = "$help [env ${environmentName(name)}]",
        envvar = environmentName(name)
    )

    private fun environmentName(flag: String) =
        "COWSLIPCART_" + flag.removePrefix("--").replace('-', '_').uppercase()
}
