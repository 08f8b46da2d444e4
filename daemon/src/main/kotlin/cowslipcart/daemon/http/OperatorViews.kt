package cowslipcart.daemon.http

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.platform.PlatformStreams
import cowslipcart.wire.admin.ConfigDocument
import cowslipcart.wire.admin.EndpointStatusDocument
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.LogRecordDocument
import cowslipcart.wire.admin.toDocument
import cowslipcart.wire.admin.toEndpointDocument
import cowslipcart.wire.log.LogCodec
import io.ktor.server.application.ApplicationCall

/** Shows operators the state of this host and of the configuration stream. */
internal class OperatorViews(
    private val published: PublishedState,
    private val streams: PlatformStreams
) {
    /** Handles `GET /admin/config`. */
    suspend fun config(call: ApplicationCall) {
        val state = published.configuration.value
        val configuration = state.configuration
        val document = ConfigDocument(
            configuration.revision.value,
            state.nextOffset.value,
            configuration.presetInForce?.value,
            configuration.declarations.values.map { it.toDocument() }
        )
        call.respondJson(document)
    }

    /** Handles `GET /admin/hosts`. */
    suspend fun hosts(call: ApplicationCall) {
        val configuration = published.configuration.value
        val documents = published.hosts.value.map { host ->
            val isCurrent = host.configOffset >= configuration.nextOffset
            HostDocument(
                host = host.host.value,
                peerAddress = host.peerAddress,
                domain = host.domain,
                isOwner = host.isOwner,
                revision = configuration.configuration.revision.value.takeIf { isCurrent },
                preset = configuration.configuration.presetInForce?.value?.takeIf { isCurrent },
                isReady = host.isReady
            )
        }
        call.respondJson(documents)
    }

    /** Handles `GET /admin/endpoints`. */
    suspend fun endpoints(call: ApplicationCall) {
        val configuration = published.configuration.value.configuration
        val documents = configuration.endpoints.map {
            EndpointStatusDocument(
                it.toEndpointDocument(),
                it.id in configuration.drainedEndpoints
            )
        }
        call.respondJson(documents)
    }

    /** Handles `GET /admin/log?from=`. */
    suspend fun log(call: ApplicationCall) {
        val from = call.request.queryParameters["from"]?.toLongOrNull()?.coerceAtLeast(0) ?: 0
        streams.readConfig(LogOffset(from), MAX_LOG_RECORDS).fold(
            { call.respondProblem(it.toProblem(), null) },
            { page ->
                call.respondJson(page.records.map(::describe))
            }
        )
    }

    private fun describe(record: LogRecord): LogRecordDocument =
        LogCodec.decodeConfig(record.payload).fold(
            { error ->
                LogRecordDocument(
                    record.offset.value,
                    record.appendedAtMs,
                    "unreadable",
                    summary = error.message
                )
            },
            { describe(record.offset, record.appendedAtMs, it) }
        )

    private fun describe(
        offset: LogOffset,
        appendedAtMs: Long,
        entry: ConfigEntry
    ): LogRecordDocument = when (entry) {
        is ConfigEntry.Publish -> LogRecordDocument(
            offset.value,
            appendedAtMs,
            "publish",
            entry.author,
            entry.baseRevision.value,
            "${entry.upserts.size} upserts, ${entry.deletes.size} deletes"
        )

        is ConfigEntry.SwitchPreset -> LogRecordDocument(
            offset.value,
            appendedAtMs,
            "switch",
            entry.author,
            entry.baseRevision.value,
            "preset ${entry.preset}"
        )

        is ConfigEntry.Checkpoint -> LogRecordDocument(
            offset.value,
            appendedAtMs,
            "checkpoint",
            summary = "state through offset ${entry.throughOffset}"
        )
    }

    private companion object {
        const val MAX_LOG_RECORDS = 200
    }
}
