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
public fun stableHash(text: String): Long = StableHasher().add(text).value

/** Computes the [stableHash] of a text that is added in parts. */
public class StableHasher {
    private var hash = FNV_OFFSET_BASIS

    /** Hash of what was added so far. */
    public val value: Long get() = finish(hash)

    /** Adds the characters of [text]. */
    public fun add(text: String): StableHasher {
        var next = hash
        for (char in text) next = (next xor char.code.toLong()) * FNV_PRIME
        hash = next
        return this
    }

    /** Adds [bytes] as characters of ISO 8859-1. */
    public fun add(bytes: ByteArray): StableHasher {
        var next = hash
        for (byte in bytes) next = (next xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
        hash = next
        return this
    }

    private fun finish(sum: Long): Long {
        var mixed = (sum xor (sum ushr 30)) * -0x40a7b892e31b1a47L
        mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
        return mixed xor (mixed ushr 31)
    }
}

private const val FNV_OFFSET_BASIS: Long = -0x340d631b7bdddcdbL
private const val FNV_PRIME: Long = 0x100000001b3L
private const val BYTE_MASK = 0xffL
