package cowslipcart.core.config

import cowslipcart.core.model.ConfigFetchId
import kotlin.random.Random

/**
 * Fetches of peers' states by this process, to tell how old their reads of the log are without
 * comparing clocks. A reply names its fetch, as a delayed one would otherwise count for a later
 * fetch, or for a fetch of the process that ran on this host before.
 *
 * @property startedAtMs start of this process, monotonic time
 */
public class PeerFetches(private val startedAtMs: Long, private val random: Random) {
    private val sentAtMs = LinkedHashMap<ConfigFetchId, Long>()

    /** Returns the id of a fetch that is sent at [nowMs]. */
    public fun begin(nowMs: Long): ConfigFetchId {
        val id = ConfigFetchId(random.nextLong())
        sentAtMs[id] = nowMs
        if (sentAtMs.size > MAX_FETCHES) sentAtMs.remove(sentAtMs.keys.first())
        return id
    }

    /**
     * Whether a read of the log surely began after the start of this process.
     *
     * @param logReadAgeMs time from the start of the read to the reply to fetch [id]. The reply was
     * made after the fetch was sent, so the read began at most this long before that.
     */
    public fun isReadAfterStart(id: ConfigFetchId, logReadAgeMs: Long): Boolean {
        val fetchedAtMs = sentAtMs[id] ?: return false
        return logReadAgeMs >= 0 && fetchedAtMs - logReadAgeMs > startedAtMs
    }

    private companion object {
        /** Replies to older fetches are of no use, as their reads are older too. */
        const val MAX_FETCHES = 16
    }
}
