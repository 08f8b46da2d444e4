package cowslipcart.core.config

import cowslipcart.core.model.ConfigFetchId
import kotlin.random.Random

/**
 * Tracks the fetches of peers' states by this process. It tells whether a peer's read of the log
 * began after the start of this process, without comparing the clocks of two hosts. A reply names
 * its fetch: otherwise a delayed reply would count for a later fetch, or a reply to the previous
 * process on this host would count for a fetch of this one.
 *
 * @param startedAtMs start of this process, monotonic time
 */
public class ConfigFetchTracker(private val startedAtMs: Long, private val random: Random) {
    private val sentAtMs = LinkedHashMap<ConfigFetchId, Long>()

    /** Records a fetch that is sent at [nowMs] and returns its id. */
    public fun begin(nowMs: Long): ConfigFetchId {
        val id = ConfigFetchId(random.nextLong())
        sentAtMs[id] = nowMs
        if (sentAtMs.size > MAX_TRACKED_FETCHES) sentAtMs.remove(sentAtMs.keys.first())
        return id
    }

    /**
     * Whether a peer's read of the log certainly began after the start of this process.
     *
     * @param logReadAgeMs time from the start of the read to the reply to fetch [id], by the clock
     * of the peer. The peer replied after the fetch was sent, so the read began at most this long
     * before the fetch.
     */
    public fun isReadAfterStart(id: ConfigFetchId, logReadAgeMs: Long): Boolean {
        val fetchedAtMs = sentAtMs[id] ?: return false
        return logReadAgeMs >= 0 && fetchedAtMs - logReadAgeMs > startedAtMs
    }

    private companion object {
        /** Replies to older fetches are ignored, as they report older reads. */
        const val MAX_TRACKED_FETCHES = 16
    }
}
