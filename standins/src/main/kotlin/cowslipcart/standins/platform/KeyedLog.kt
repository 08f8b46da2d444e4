package cowslipcart.standins.platform

/** Record of a keyed topic; an empty [value] is a tombstone, which deletes the key. */
public class KeyedRecord(
    public val key: String,
    public val value: ByteArray,
    public val offset: Long
)

/**
 * Keyed topics of the platform's store, in memory. Each record gets the next offset of its topic,
 * from 0. [compact] makes the history unreadable, but not the newest record of each key.
 * Thread-safe.
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
    public fun append(topicName: String, key: String, value: ByteArray): Long {
        val topic = topicOf(topicName)
        topic.records += KeyedRecord(key, value, topic.end)
        return topic.end++
    }

    /** As [append], if the topic ends at [expectedEnd]; else returns null. */
    @Synchronized
    public fun appendAt(
        topicName: String,
        key: String,
        value: ByteArray,
        expectedEnd: Long
    ): Long? = if (topicOf(topicName).end == expectedEnd) append(topicName, key, value) else null

    /** Returns the records from offset [from] on, or null if [compact] removed some of them. */
    @Synchronized
    public fun read(topicName: String, from: Long): List<KeyedRecord>? {
        val topic = topicOf(topicName)
        if (from < topic.firstKept) return null
        return topic.records.filter { it.offset >= from && it.offset >= topic.firstKept }
    }

    /** Returns the newest record of each key, without keys whose newest record is a tombstone. */
    @Synchronized
    public fun newest(topicName: String): List<KeyedRecord> = topicOf(topicName).records
        .groupBy { it.key }
        .map { (_, records) -> records.last() }
        .filter { it.value.isNotEmpty() }

    /** Makes [read] return null for all offsets before the end; [newest] is not affected. */
    @Synchronized
    public fun compact(topicName: String) {
        val topic = topicOf(topicName)
        topic.firstKept = topic.end
    }

    /** Returns the offset that the next record gets. */
    @Synchronized
    public fun end(topicName: String): Long = topicOf(topicName).end

    /** Returns the oldest offset from which [read] returns records. */
    @Synchronized
    public fun firstKept(topicName: String): Long = topicOf(topicName).firstKept

    private fun topicOf(name: String) = topics.getOrPut(name) { Topic() }
}
