package cowslipcart.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** IP address and port of a socket; port 0 selects a free port. */
public data class SocketAddressSetting(public val ip: String, public val port: Int) {
    override fun toString(): String = "$ip:$port"
}

/** Valid settings of a daemon; times are in milliseconds. */
public data class Settings(
    public val hostId: String,
    public val failureDomain: String,
    public val httpListen: SocketAddressSetting,
    public val peerListen: SocketAddressSetting,
    public val logUrl: String,
    public val hostListUrl: String,
    public val peerSecret: String,
    public val operatorToken: String,
    public val drainNoticeMs: Long,
    public val drainLimitMs: Long,
    public val maxBodyBytes: Int,
    public val streamIdleTimeoutMs: Long,
    public val cacheReadBytesPerS: Long,
    public val isLogJson: Boolean
)

/** Settings as given on the command line, before validation. */
internal data class RawSettings(
    val hostId: String?,
    val failureDomain: String?,
    val httpListen: String?,
    val peerListen: String?,
    val logUrl: String?,
    val hostListUrl: String?,
    val peerSecret: String?,
    val operatorToken: String?,
    val drainNoticeMs: String,
    val drainLimitMs: String,
    val maxBodyBytes: String,
    val streamIdleTimeoutMs: String,
    val cacheReadBytesPerS: String,
    val logFormat: String
)

/** Invalid settings; [faults] has one message for each, which starts with the name of the flag. */
public data class SettingsError(public val faults: List<String>)

/** Validates all settings and returns all faults at once. */
internal fun checkSettings(raw: RawSettings): Either<SettingsError, Settings> {
    val check = SettingsCheck()
    val settings = Settings(
        hostId = check.name("--host-id", raw.hostId),
        failureDomain = check.name("--failure-domain", raw.failureDomain),
        httpListen = check.address("--http-listen", raw.httpListen),
        peerListen = check.address("--peer-listen", raw.peerListen),
        logUrl = check.url("--log-url", raw.logUrl),
        hostListUrl = check.url("--host-list-url", raw.hostListUrl),
        peerSecret = check.secret("--peer-secret", raw.peerSecret),
        operatorToken = check.secret("--operator-token", raw.operatorToken),
        drainNoticeMs = check.number("--drain-notice-ms", raw.drainNoticeMs, 0L..60_000L),
        drainLimitMs = check.number("--drain-limit-ms", raw.drainLimitMs, 0L..3_600_000L),
        maxBodyBytes =
            check.number("--max-body-bytes", raw.maxBodyBytes, 1_024L..67_108_864L).toInt(),
        streamIdleTimeoutMs =
            check.number("--stream-idle-timeout-ms", raw.streamIdleTimeoutMs, 100L..3_600_000L),
        cacheReadBytesPerS = check
            .number("--cache-read-bytes-per-s", raw.cacheReadBytesPerS, 0L..10_000_000L),
        isLogJson = check.choice("--log-format", raw.logFormat, listOf("text", "json")) == "json"
    )
    return if (check.faults.isEmpty()) settings.right() else SettingsError(check.faults).left()
}

/** Validates single settings and collects their faults. */
private class SettingsCheck {
    val faults = mutableListOf<String>()

    fun name(flag: String, value: String?): String {
        val found = required(flag, value)
        if (found.isNotEmpty() && !NAME.matches(found)) {
            faults += "$flag: expected 1 to 63 letters, digits, '-', '_' or '.', found '$found'"
        }
        return found
    }

    fun address(flag: String, value: String?): SocketAddressSetting {
        val found = required(flag, value)
        val match = ADDRESS.matchEntire(found)
        val port = match?.groupValues?.get(2)?.toIntOrNull()
        if (match == null || port == null || port !in 0..65_535) {
            if (found.isNotEmpty()) {
                faults += "$flag: expected IP:PORT with an IP number, found '$found'"
            }
            return SocketAddressSetting("", 0)
        }
        return SocketAddressSetting(match.groupValues[1], port)
    }

    fun url(flag: String, value: String?): String {
        val found = required(flag, value)
        if (found.isNotEmpty() && !URL.matches(found)) {
            faults += "$flag: expected http://IP:PORT, found '$found'"
        }
        return found.trimEnd('/')
    }

    fun secret(flag: String, value: String?): String {
        val found = required(flag, value)
        if (found.isNotEmpty() && found.length < MIN_SECRET_LENGTH) {
            faults += "$flag: expected at least $MIN_SECRET_LENGTH characters, " +
                "found ${found.length}"
        }
        return found
    }

    fun number(flag: String, value: String, range: LongRange): Long {
        val found = value.toLongOrNull()
        if (found == null || found !in range) {
            faults += "$flag: expected a number from ${range.first} to ${range.last}, " +
                "found '$value'"
            return range.first
        }
        return found
    }

    fun choice(flag: String, value: String, choices: List<String>): String {
        if (value !in choices) faults += "$flag: expected one of $choices, found '$value'"
        return value
    }

    private fun required(flag: String, value: String?): String {
        if (value.isNullOrEmpty()) faults += "$flag: expected a value, found none"
        return value.orEmpty()
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9._-]{1,63}")
        val ADDRESS = Regex("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+])" + ":([0-9]+)")
        val URL = Regex("http://[^/ ]+:[0-9]+/?")
        const val MIN_SECRET_LENGTH = 16
    }
}
