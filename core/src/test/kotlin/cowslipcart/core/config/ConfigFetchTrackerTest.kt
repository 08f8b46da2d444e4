package cowslipcart.core.config

import cowslipcart.core.model.ConfigFetchId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a read of the log by a peer that is taken for more recent than it is. */
class ConfigFetchTrackerTest {
    private val fetches = ConfigFetchTracker(startedAtMs = 1_000, Random(1))

    @Test
    fun `a read that began after the start counts`() {
        assertTrue(fetches.isReadAfterStart(fetches.begin(nowMs = 1_500), logReadAgeMs = 499))
    }

    @Test
    fun `a read that may have begun before the start does not count`() {
        assertFalse(fetches.isReadAfterStart(fetches.begin(nowMs = 1_500), logReadAgeMs = 500))
    }

    @Test
    fun `a late reply counts for the fetch that it names`() {
        val early = fetches.begin(nowMs = 1_100)
        fetches.begin(nowMs = 9_000)
        assertFalse(fetches.isReadAfterStart(early, logReadAgeMs = 100))
    }

    @Test
    fun `a reply to a fetch of an earlier process does not count`() {
        assertFalse(fetches.isReadAfterStart(ConfigFetchId(7), logReadAgeMs = 0))
    }

    @Test
    fun `a read with a negative age does not count`() {
        assertFalse(fetches.isReadAfterStart(fetches.begin(nowMs = 1_000), logReadAgeMs = -1))
    }
}
