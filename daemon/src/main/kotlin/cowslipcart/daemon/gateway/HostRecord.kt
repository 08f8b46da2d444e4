package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.HostProfile
import cowslipcart.daemon.SocketAddressSetting

/** What a host writes of itself in the store: `IP:PORT DOMAIN CORES`. */
internal class HostRecord(val address: SocketAddressSetting, val profile: HostProfile) {
    fun encode(): ByteArray =
        "$address ${profile.domain} ${profile.capacityCores}".encodeToByteArray()

    companion object {
        /** Returns null for a record of another form. */
        fun decode(value: ByteArray): HostRecord? {
            val words = value.decodeToString().split(' ')
            if (words.size != WORDS) return null
            val (address, domain, cores) = words
            val port = address.substringAfterLast(':', "").toIntOrNull() ?: return null
            val capacityCores = cores.toDoubleOrNull() ?: return null
            return HostRecord(
                SocketAddressSetting(address.substringBeforeLast(':'), port),
                HostProfile(domain, capacityCores)
            )
        }

        private const val WORDS = 3
    }
}
