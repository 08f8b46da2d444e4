package cowslipcart.core.membership

import cowslipcart.core.model.HostId

/**
 * Returns the owner of [key] among [hosts] by rendezvous hashing: the host with the highest hash of
 * (host, [key]), or null if there is none. Every caller with the same set computes the same owner,
 * and the removal of a host moves only the keys that it owned.
 */
public fun rendezvousOwner(key: String, hosts: Collection<HostId>): HostId? =
    hosts.maxWithOrNull(compareBy({ rendezvousScore(key, it.value) }, { it.value }))

/** Returns the index below [count] with the highest hash of (index, [key]). */
public fun rendezvousIndex(key: String, count: Int): Int = rendezvousIndex(key, 0 until count)

/** Returns the one of [candidates] (not empty) with the highest hash of (index, [key]). */
public fun rendezvousIndex(key: String, candidates: Iterable<Int>): Int =
    candidates.maxBy { rendezvousScore(key, it.toString()) }

private fun rendezvousScore(key: String, candidate: String): Long = stableHash("$key/$candidate")

/** Hashes [text] by 64-bit FNV-1a over its characters and the finalizer of SplitMix64. */
public fun stableHash(text: String): Long {
    var hash = FNV_OFFSET_BASIS
    for (char in text) {
        hash = (hash xor char.code.toLong()) * FNV_PRIME
    }
    hash = (hash xor (hash ushr 30)) * -0x40a7b892e31b1a47L
    hash = (hash xor (hash ushr 27)) * -0x6b2fb644ecceee15L
    return hash xor (hash ushr 31)
}

private const val FNV_OFFSET_BASIS: Long = -0x340d631b7bdddcdbL
private const val FNV_PRIME: Long = 0x100000001b3L
