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
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.OrderInput
import cowslipcart.core.log.LogError
import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogPort
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.core.orders.OwnerEntry
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.wire.WireError
import cowslipcart.wire.log.LogCodec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** The daemon's streams on the platform's log: reads and appends records for the controller. */
internal class PlatformStreams(
    private val log: LogPort,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
    clock: RuntimeClock,
    private val submit: (HostInput) -> Unit
) {
    private val logger = LoggerFactory.getLogger(PlatformStreams::class.java)
    private val configTail = StreamTail(log, CONFIG, metrics, clock)
    private val epochsTail = StreamTail(log, EPOCHS, metrics, clock)

    /** Follows the configuration and epoch streams and submits each page to the controller. */
    fun start() {
        configTail.start(
            scope,
            { page, sentAtMs -> submit(configInput(page, sentAtMs)) },
            { submit(HostInput.ConfigReadFailed) }
        )
        epochsTail.start(scope, { page, _ -> submit(epochsInput(page)) }, {})
    }

    /** Ends the retry delay after a failed read of the configuration stream. */
    fun readConfigNow() = configTail.readNow()

    /** Appends in the background; after a failure the controller proposes the record again. */
    fun appendEpoch(entry: EpochEntry) {
        scope.launch { append(EPOCHS, LogCodec.encodeEpoch(entry)) }
    }

    /** Appends in the background; a failure is only counted in the metrics. */
    fun appendConfigAsync(entry: ConfigEntry) {
        scope.launch { append(CONFIG, LogCodec.encodeConfig(entry)) }
    }

    /**
     * Appends an operator's record and returns its offset. If the answer of the log was lost, the
     * record is searched for in the stream from [from] on; [LogError.Unknown] if it is not found.
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

    /** Appends in the background and submits the result for [batchId] to the controller. */
    fun appendClaims(partition: Int, batchId: Long, items: List<ClaimItem>) {
        scope.launch {
            val result = append(claimsStream(partition), LogCodec.encodeClaims(items))
            submit(
                result.fold(
                    { HostInput.ClaimsAppendFailed(partition, batchId, it) },
                    { HostInput.ClaimsAppended(partition, batchId, it) }
                )
            )
        }
    }

    /** Reads one page in the background and submits it to the controller. */
    fun readClaims(partition: Int, from: LogOffset) {
        scope.launch {
            val page = log.read(claimsStream(partition), from, MAX_CLAIM_RECORDS, waitMs = 0)
            submit(
                page.fold(
                    { HostInput.ClaimsReadFailed(partition, it) },
                    { claimsInput(partition, it) }
                )
            )
        }
    }

    /** Appends in the background and submits the result to the controller. */
    fun appendTakeOver(entry: OwnerEntry.TakeOver) {
        scope.launch {
            val result = append(OWNERS, LogCodec.encodeOwner(entry))
            submit(
                result.fold(
                    { OrderInput.TakeOverFailed(entry.shard) },
                    { OrderInput.TakeOverAppended(entry.shard, it) }
                )
            )
        }
    }

    /** Reads one page in the background and submits it to the controller. */
    fun readOwners(from: LogOffset) {
        scope.launch {
            val page = log.read(OWNERS, from, MAX_OWNER_RECORDS, waitMs = 0)
            submit(page.fold({ OrderInput.OwnersReadFailed }, { ownersInput(from, it) }))
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
     * A record that no version can decode is skipped by every host. A record of a newer version is
     * not skipped: this host stops before it, since otherwise it would put another configuration in
     * force than the hosts that can decode it.
     */
    private fun configInput(page: LogPage, sentAtMs: Long): HostInput.ConfigRead {
        val decoded = page.records.map { it to LogCodec.decodeConfig(it.payload) }
        val readable = decoded.takeWhile { (_, result) -> !isNewerVersion(result) }
        val records = readable.map { (record, result) ->
            ConfigRecord(record.offset, record.appendedAtMs, decodedOrNull(record, result))
        }
        if (readable.size < decoded.size) {
            val (record, result) = decoded[readable.size]
            decodedOrNull(record, result)
        }
        return HostInput.ConfigRead(records, page.firstKeptOffset, page.endOffset, sentAtMs)
    }

    private fun isNewerVersion(result: Either<WireError, *>) =
        result.leftOrNull() is WireError.UnknownVersion

    /**
     * A record that no version can decode is void on every host. A record of a newer version may be
     * valid on hosts that can decode it: it is left out, so that this host detects a gap and
     * accepts no epoch before the next checkpoint.
     */
    private fun epochsInput(page: LogPage) = HostInput.EpochsRead(
        page.records.mapNotNull { record ->
            val result = LogCodec.decodeEpoch(record.payload)
            val entry = decodedOrNull(record, result)
            if (isNewerVersion(result)) {
                null
            } else {
                EpochRecord(record.offset, record.appendedAtMs, entry)
            }
        }
    )

    private fun ownersInput(from: LogOffset, page: LogPage) = OrderInput.OwnersRead(
        page.records.mapNotNull { record ->
            decodedOrNull(record, LogCodec.decodeOwner(record.payload))?.let { record.offset to it }
        },
        page.records.lastOrNull()?.offset?.next() ?: maxOf(from, page.firstKeptOffset)
    )

    /** Fails on a record of a newer version: a claim that is overlooked could be run twice. */
    private fun claimsInput(partition: Int, page: LogPage): HostInput {
        val decoded = page.records.map { it to LogCodec.decodeClaims(it.payload) }
        if (decoded.any { (_, result) -> isNewerVersion(result) }) {
            val error = LogError.Unavailable("expected readable claims, found a newer version")
            return HostInput.ClaimsReadFailed(partition, error)
        }
        val records = decoded.map { (record, result) ->
            ClaimRecord(record.offset, record.appendedAtMs, decodedOrNull(record, result).orEmpty())
        }
        return HostInput.ClaimsRead(partition, records, page.firstKeptOffset, page.endOffset)
    }

    /** Returns the decoded record; counts and logs one that cannot be decoded and returns null. */
    private fun <T> decodedOrNull(record: LogRecord, result: Either<WireError, T>): T? =
        result.fold(
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
