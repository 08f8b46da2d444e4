package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.HostProfile
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.parseIpv4Address

/** Record of a host in the store, as `IP:PORT DOMAIN CORES`. */
internal class HostRecord(val address: SocketAddressSetting, val profile: HostProfile) {
    /** Encodes the record for the store. */
    fun encode(): ByteArray =
        "$address ${profile.domain} ${profile.capacityCores}".encodeToByteArray()

    companion object {
        /** Decodes a record; returns null if it is not valid. */
        fun decode(value: ByteArray): HostRecord? {
            val fields = value.decodeToString().split(' ')
            if (fields.size != FIELD_COUNT) return null
            val (address, domain, cores) = fields
            val capacityCores = cores.toDoubleOrNull() ?: return null
            if (!capacityCores.isFinite() || capacityCores <= 0) return null
            return HostRecord(
                parseIpv4Address(address) ?: return null,
                HostProfile(domain, capacityCores)
            )
        }

        private const val FIELD_COUNT = 3
    }
}
