package cowslipcart.core.config

import cowslipcart.core.model.ConfigFetchId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a read of the log by a peer that is taken for more recent than it is. */
class ConfigFetchTrackerTest {
    private val fetchTracker = ConfigFetchTracker(startedAtMs = 1_000, Random(1))

    @Test
    fun `a read that began after the start counts`() {
        assertTrue(
            fetchTracker.isReadAfterStart(fetchTracker.begin(nowMs = 1_500), logReadAgeMs = 499)
        )
    }

    @Test
    fun `a read that may have begun before the start does not count`() {
        assertFalse(
            fetchTracker.isReadAfterStart(fetchTracker.begin(nowMs = 1_500), logReadAgeMs = 500)
        )
    }

    @Test
    fun `a late reply counts for the fetch that it names`() {
        val early = fetchTracker.begin(nowMs = 1_100)
        fetchTracker.begin(nowMs = 9_000)
        assertFalse(fetchTracker.isReadAfterStart(early, logReadAgeMs = 100))
    }

    @Test
    fun `a reply to a fetch of an earlier process does not count`() {
        assertFalse(fetchTracker.isReadAfterStart(ConfigFetchId(7), logReadAgeMs = 0))
    }

    @Test
    fun `a read with a negative age does not count`() {
        assertFalse(
            fetchTracker.isReadAfterStart(fetchTracker.begin(nowMs = 1_000), logReadAgeMs = -1)
        )
    }
}
