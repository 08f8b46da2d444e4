package cowslipcart.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimRecord
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.log.LogError
import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogPort
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.core.node.NodeInput
import cowslipcart.core.node.OrderInput
import cowslipcart.core.orders.OwnerEntry
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.wire.WireError
import cowslipcart.wire.log.LogCodec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** The system's streams on the platform's log: follows them and appends for control. */
internal class PlatformStreams(
    private val log: LogPort,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
    clock: RuntimeClock,
    private val control: (NodeInput) -> Unit
) {
    private val logger = LoggerFactory.getLogger(PlatformStreams::class.java)
    private val configTail = StreamTail(log, CONFIG, metrics, clock)
    private val epochsTail = StreamTail(log, EPOCHS, metrics, clock)

    fun start() {
        configTail.start(
            scope,
            { page, beganAtMs -> control(configInput(page, beganAtMs)) },
            { control(NodeInput.ConfigReadFailed) }
        )
        epochsTail.start(scope, { page, _ -> control(epochsInput(page)) }, {})
    }

    fun readConfigNow() = configTail.readNow()

    /** Appends in the background; a lost record is proposed again by control. */
    fun appendEpoch(entry: EpochEntry) {
        scope.launch { append(EPOCHS, LogCodec.encodeEpoch(entry)) }
    }

    /** Appends in the background. */
    fun appendConfigLater(entry: ConfigEntry) {
        scope.launch { append(CONFIG, LogCodec.encodeConfig(entry)) }
    }

    /**
     * Appends an operator's record and awaits its offset. After a lost answer the stream is read
     * back; only then is [LogError.Unknown] returned.
     */
    suspend fun appendConfig(entry: ConfigEntry, from: LogOffset): Either<LogError, LogOffset> {
        val payload = LogCodec.encodeConfig(entry)
        return append(CONFIG, payload).fold(
            { error ->
                when (error) {
                    is LogError.Unavailable -> error.left()
                    is LogError.Unknown -> findRecord(payload, from, error)
                }
            },
            { it.right() }
        )
    }

    fun appendClaims(partition: Int, batch: Long, items: List<ClaimItem>) {
        scope.launch {
            val result = append(claimsStream(partition), LogCodec.encodeClaims(items))
            control(
                result.fold(
                    { NodeInput.ClaimsAppendFailed(partition, batch, it) },
                    { NodeInput.ClaimsAppended(partition, batch, it) }
                )
            )
        }
    }

    fun readClaims(partition: Int, from: LogOffset) {
        scope.launch {
            val page = log.read(claimsStream(partition), from, MAX_CLAIM_RECORDS, waitMs = 0)
            control(
                page.fold(
                    { NodeInput.ClaimsReadFailed(partition, it) },
                    { claimsInput(partition, it) }
                )
            )
        }
    }

    fun appendTakeOver(entry: OwnerEntry.TakeOver) {
        scope.launch {
            val result = append(OWNERS, LogCodec.encodeOwner(entry))
            control(
                result.fold(
                    { OrderInput.TakeOverFailed(entry.shard) },
                    { OrderInput.TakeOverAppended(entry.shard, it) }
                )
            )
        }
    }

    fun readOwners(from: LogOffset) {
        scope.launch {
            val page = log.read(OWNERS, from, MAX_OWNER_RECORDS, waitMs = 0)
            control(page.fold({ OrderInput.OwnersReadFailed }, { ownersInput(from, it) }))
        }
    }

    /** Reads configuration records for an operator. */
    suspend fun readConfig(from: LogOffset, maxCount: Int): Either<LogError, LogPage> =
        log.read(CONFIG, from, maxCount, waitMs = 0)

    private suspend fun append(
        stream: StreamName,
        payload: ByteArray
    ): Either<LogError, LogOffset> {
        val result = log.append(stream, payload)
        metrics.logCalls.labelValues("append", if (result.isRight()) "ok" else "failed").inc()
        return result
    }

    private suspend fun findRecord(
        payload: ByteArray,
        from: LogOffset,
        error: LogError
    ): Either<LogError, LogOffset> {
        val page = log.read(CONFIG, from, MAX_CONFIG_RECORDS, waitMs = 0).getOrNull()
        val found = page?.records?.firstOrNull { it.payload.contentEquals(payload) }
        return found?.offset?.right() ?: error.left()
    }

    /**
     * Bytes that no version can read are skipped by every host alike. A record of a newer version is
     * not: this host stops before it, since skipping it would put another configuration in force
     * than on the hosts that can read it.
     */
    private fun configInput(page: LogPage, beganAtMs: Long): NodeInput.ConfigRead {
        val decoded = page.records.map { it to LogCodec.decodeConfig(it.payload) }
        val readable = decoded.takeWhile { (_, result) -> !isNewerVersion(result) }
        val records = readable.map { (record, result) ->
            ConfigRecord(record.offset, record.appendedAtMs, decoded(record, result))
        }
        if (readable.size < decoded.size) {
            val (record, result) = decoded[readable.size]
            decoded(record, result)
        }
        return NodeInput.ConfigRead(records, page.firstKeptOffset, page.endOffset, beganAtMs)
    }

    private fun isNewerVersion(result: Either<WireError, *>) =
        result.leftOrNull() is WireError.UnknownVersion

    /**
     * Bytes that no version can read are void on every host alike. A record of a newer version may
     * be valid on hosts that can read it; it is left out, so that this host finds a gap and takes
     * no further epoch before the next checkpoint.
     */
    private fun epochsInput(page: LogPage) = NodeInput.EpochsRead(
        page.records.mapNotNull { record ->
            val result = LogCodec.decodeEpoch(record.payload)
            val entry = decoded(record, result)
            if (isNewerVersion(result)) {
                null
            } else {
                EpochRecord(record.offset, record.appendedAtMs, entry)
            }
        }
    )

    private fun ownersInput(from: LogOffset, page: LogPage) = OrderInput.OwnersRead(
        page.records.mapNotNull { record ->
            decoded(record, LogCodec.decodeOwner(record.payload))?.let { record.offset to it }
        },
        page.records.lastOrNull()?.offset?.next() ?: maxOf(from, page.firstKeptOffset)
    )

    /** A claim of a newer version that is not seen could be run a second time. */
    private fun claimsInput(partition: Int, page: LogPage): NodeInput {
        val decoded = page.records.map { it to LogCodec.decodeClaims(it.payload) }
        if (decoded.any { (_, result) -> isNewerVersion(result) }) {
            val error = LogError.Unavailable("expected readable claims, found a newer version")
            return NodeInput.ClaimsReadFailed(partition, error)
        }
        val records = decoded.map { (record, result) ->
            ClaimRecord(record.offset, record.appendedAtMs, decoded(record, result).orEmpty())
        }
        return NodeInput.ClaimsRead(partition, records, page.firstKeptOffset, page.endOffset)
    }

    /** A record that cannot be decoded is skipped by every host alike, and reported. */
    private fun <T> decoded(record: LogRecord, result: Either<WireError, T>): T? = result.fold(
        { error ->
            metrics.logCalls.labelValues("decode", "failed").inc()
            logger.error("record at {} cannot be decoded: {}", record.offset, error.message)
            null
        },
        { it }
    )

    private companion object {
        val CONFIG = StreamName("config")
        val EPOCHS = StreamName("epochs")
        val OWNERS = StreamName("owners")
        const val MAX_CLAIM_RECORDS = 512
        const val MAX_OWNER_RECORDS = 1_024
        const val MAX_CONFIG_RECORDS = 1_024

        fun claimsStream(partition: Int) = StreamName("claims-$partition")
    }
}
