package cowslipcart.standins.platform

/** A record of a keyed topic; [value] is empty if the key was dropped. */
public class KeyedRecord(
    public val key: String,
    public val value: ByteArray,
    public val offset: Long
)

/**
 * Keyed topics of the platform's store: every record has an offset, and the newest of each key is
 * kept when older records are dropped. Used by several threads.
 */
public class KeyedLog {
    private class Topic {
        val records = mutableListOf<KeyedRecord>()
        var firstKept = 0L
        var end = 0L
    }

    private val topics = mutableMapOf<String, Topic>()

    /** Appends a record and returns its offset. */
    @Synchronized
    public fun append(topic: String, key: String, value: ByteArray): Long {
        val log = topicOf(topic)
        log.records += KeyedRecord(key, value, log.end)
        return log.end++
    }

    /** Records from [from] on, or null if some of them were dropped. */
    @Synchronized
    public fun read(topic: String, from: Long): List<KeyedRecord>? {
        val log = topicOf(topic)
        if (from < log.firstKept) return null
        return log.records.filter { it.offset >= from && it.offset >= log.firstKept }
    }

    /** The newest record of each key that is not dropped. */
    @Synchronized
    public fun newest(topic: String): List<KeyedRecord> = topicOf(topic).records
        .groupBy { it.key }
        .map { (_, records) -> records.last() }
        .filter { it.value.isNotEmpty() }

    /** Drops the history; the newest record of each key stays. */
    @Synchronized
    public fun compact(topic: String) {
        val log = topicOf(topic)
        log.firstKept = log.end
    }

    /** Offset that the next record gets. */
    @Synchronized
    public fun end(topic: String): Long = topicOf(topic).end

    /** Oldest offset that [read] returns. */
    @Synchronized
    public fun firstKept(topic: String): Long = topicOf(topic).firstKept

    private fun topicOf(name: String) = topics.getOrPut(name) { Topic() }
}
