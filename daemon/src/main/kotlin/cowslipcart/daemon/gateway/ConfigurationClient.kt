package cowslipcart.daemon.gateway

import cowslipcart.core.store.StoreUpdate
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.wire.relay.ConfigurationExchange
import io.ktor.network.selector.SelectorManager
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/** Asks other hosts for the configuration that they hold. */
internal class ConfigurationClient(private val selector: SelectorManager) : ConfigurationSource {
    override suspend fun ask(host: SocketAddressSetting): StoreUpdate.Configuration? {
        val connection = try {
            selector.connectTo(host.ip, host.port, CONNECT_TIMEOUT_MS)
        } catch (_: IOException) {
            null
        } ?: return null
        return try {
            withTimeoutOrNull(ANSWER_TIMEOUT_MS) { receive(connection) }
        } catch (_: IOException) {
            null
        } finally {
            connection.abort()
        }
    }

    private suspend fun receive(connection: ServerConnection): StoreUpdate.Configuration? {
        connection.send(ConfigurationExchange.encodeRequest())
        val line = connection.source.readLine()
        val bytes = ByteArray(ConfigurationExchange.decodeCount(line) ?: return null)
        var count = 0
        while (count < bytes.size) {
            val read = connection.source.read(bytes, count, bytes.size - count)
            if (read < 0) return null
            count += read
        }
        return ConfigurationExchange.decodeUpdate(bytes)
    }

    private companion object {
        /** As for endpoints: a lost packet is resent after 200 ms. */
        const val CONNECT_TIMEOUT_MS = 350L

        /** Several hosts may ask the same one at once for some hundred kilobytes, in ms. */
        const val ANSWER_TIMEOUT_MS = 1_000L
    }
}
