package cowslipcart.daemon.gateway

import cowslipcart.core.rollout.RolloutChange
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.core.rollout.RolloutNotice
import cowslipcart.core.rollout.RolloutOrder
import cowslipcart.core.rollout.RolloutRecord
import cowslipcart.core.rollout.StoredRollout
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableFreshness
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Takes records of the table of configurations that are no configurations. */
internal fun interface OrderListener {
    /** Takes [record] if it is an order; returns whether it is. */
    fun onRecord(record: TableRecord): Boolean

    /** Whether a record at [key] is an order. */
    fun isOrder(key: String): Boolean = false
}

/** Key and value of a record to write. */
public class EncodedRollout(public val key: String, public val value: ByteArray)

/** Translates the orders and records of roll-outs in a platform's store. */
public interface RolloutCodec {
    /** Whether the record at [key] of the table of configurations is an order. */
    public fun isOrder(key: String): Boolean

    /** Decodes an order; null if [record] is not valid. */
    public fun decodeOrder(record: TableRecord): RolloutOrder?

    /** Decodes a record of the table of roll-outs; null if [record] is not valid. */
    public fun decodeRollout(record: TableRecord): StoredRollout?

    /** Encodes [record]. */
    public fun encodeRollout(record: RolloutRecord): EncodedRollout
}

/** What a [RolloutFollower] uses of the gateway. */
internal class RolloutLinks(
    val following: StoreFollowing,
    val submit: (RolloutChange) -> Unit,
    val publish: (RolloutNotice) -> Unit
)

/**
 * Reads and writes the table of roll-outs while an order is unfinished. The first host of a group
 * reads it often; the others hear of records from it, and read if they have heard nothing lately.
 */
internal class RolloutFollower(
    private val links: RolloutLinks,
    private val codec: RolloutCodec,
    random: Random
) {
    private val following = links.following
    private val clock = following.clock
    private val table = StoreTable.ROLLOUTS
    private val health = StoreHealth(table, following.eventLog, random)
    private val freshness = TableFreshness(FIRST_MAX_AGE_MS, LONGEST_MAX_AGE_MS)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val writes =
        Channel<RolloutEffect.Write>(WRITE_CAPACITY, BufferOverflow.DROP_OLDEST)

    @Volatile
    private var isFollowing = false

    @Volatile
    private var isReadAsked = false

    /** Time as of which other hosts have told the newest record. */
    @Volatile
    private var heardAsOfMs = Long.MIN_VALUE / 2

    /** Whether the record at [key] of the table of configurations is an order. */
    fun isOrder(key: String): Boolean = codec.isOrder(key)

    /** Takes the orders that this host reads in the table of configurations. */
    fun onOrder(record: TableRecord): Boolean {
        if (!codec.isOrder(record.key)) return false
        following.decodeOrReport(StoreTable.CONFIGURATION, record) { codec.decodeOrder(record) }
            ?.let { links.submit(RolloutChange.Ordered(it)) }
        return true
    }

    /** Takes what another host has told; never blocks. */
    fun onNotice(notice: RolloutNotice) {
        if (notice.stored != null) {
            heardAsOfMs = maxOf(heardAsOfMs, clock.nowMs() - notice.knownAgeMs)
        }
        links.submit(RolloutChange.Noticed(notice))
    }

    /** Carries out a decision of the control thread; never blocks. */
    fun perform(effect: RolloutEffect) {
        when (effect) {
            is RolloutEffect.Follow -> {
                isFollowing = effect.isActive
                wakeUps.trySend(Unit)
            }

            RolloutEffect.Read -> askRead()

            is RolloutEffect.Send -> links.publish(effect.notice)

            is RolloutEffect.Write -> writes.trySend(effect)

            is RolloutEffect.Log -> Unit
        }
    }

    /** Follows the table until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { while (isActive) following.guard(table) { followOnce() } }
        scope.launch { for (write in writes) following.guard(table) { write(write) } }
    }

    private fun askRead() {
        isReadAsked = true
        wakeUps.trySend(Unit)
    }

    private suspend fun followOnce() {
        if (!isFollowing && !isReadAsked) {
            wakeUps.receive()
            return
        }
        val untilReadMs = if (isReadAsked) 0 else untilReadMs()
        if (untilReadMs > 0) {
            wakeUps.receiveOrNull(untilReadMs)
            return
        }
        isReadAsked = false
        read()
    }

    private fun untilReadMs(): Long {
        val nowMs = clock.nowMs()
        val rank = following.publisher.groupRank
        val untilReadMs = freshness.untilReadMs(rank, nowMs)
        if (rank == 0 || freshness.next == null) return untilReadMs
        return maxOf(untilReadMs, heardAsOfMs + LONGEST_MAX_AGE_MS - nowMs)
    }

    private suspend fun read() {
        val from = freshness.next
        val sentAtMs = clock.nowMs()
        val error = if (from == null) {
            following.store.newest(table).onRight { snapshot ->
                val records = snapshot.records.sortedBy { it.offset }
                onRead(RolloutChange.TableRead(decode(records), snapshot.end, sentAtMs))
            }.leftOrNull()
        } else {
            following.store.changes(table, from, 0, health.responseTimeoutMs).onRight {
                onRead(RolloutChange.TableRead(decode(it.records), it.next, sentAtMs))
            }.leftOrNull()
        }
        health.onCall(error)
        when (error) {
            null -> Unit

            StoreError.Trimmed -> freshness.onTrimmed()

            StoreError.Conflict, is StoreError.Unavailable ->
                freshness.onFailed(clock.nowMs() + health.retryDelayMs())
        }
    }

    private fun onRead(read: RolloutChange.TableRead) {
        freshness.onRead(read.end, read.asOfMs)
        links.submit(read)
    }

    private fun decode(records: List<TableRecord>): List<StoredRollout> =
        records.mapNotNull { record ->
            following.decodeOrReport(table, record) { codec.decodeRollout(record) }
        }

    private suspend fun write(write: RolloutEffect.Write) {
        val encoded = codec.encodeRollout(write.record)
        val error = following.store
            .putAt(table, encoded.key, encoded.value, write.expectedEnd)
            .leftOrNull()
        health.onCall(error)
        if (error != null) links.submit(RolloutChange.WriteFailed(write.record, "$error"))
        // The record is in force once it has been read, also if the answer was lost.
        askRead()
    }

    private companion object {
        /** Age at which the first host of a group reads the table again, in ms. */
        const val FIRST_MAX_AGE_MS = 900L

        /** Leaves time for a read and its repetition before a permission lapses, in ms. */
        const val LONGEST_MAX_AGE_MS = 2_500L
        const val WRITE_CAPACITY = 4
    }
}
