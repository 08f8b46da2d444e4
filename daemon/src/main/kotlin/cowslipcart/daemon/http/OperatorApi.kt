package cowslipcart.daemon.http

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.log.LogError
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.control.VerdictBoard
import cowslipcart.daemon.platform.PlatformStreams
import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.ConfigDocument
import cowslipcart.wire.admin.ConflictResponse
import cowslipcart.wire.admin.EndpointDocument
import cowslipcart.wire.admin.EndpointStatusDocument
import cowslipcart.wire.admin.FaultsResponse
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.LogRecordDocument
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.SwitchPresetRequest
import cowslipcart.wire.admin.toDocument
import cowslipcart.wire.log.LogCodec
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import java.security.MessageDigest
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** The operators' HTTP interface. Changes are appended to the log and decided by its order. */
internal class OperatorApi(
    private val published: PublishedState,
    private val streams: PlatformStreams,
    private val verdicts: VerdictBoard,
    private val bodies: BodyReader,
    private val operatorToken: String
) {
    private val json = Json { encodeDefaults = true }

    /** Whether the call carries the operator's token; if not, it has been answered. */
    suspend fun isAuthorised(call: ApplicationCall): Boolean {
        val given = call.request.headers[HttpHeaders.Authorization]?.removePrefix(
            "Bearer "
        ).orEmpty()
        val isEqual = MessageDigest.isEqual(
            given.encodeToByteArray(),
            operatorToken.encodeToByteArray()
        )
        if (!isEqual) {
            val error = HttpError.Unauthenticated("expected the operator's bearer token")
            call.respondProblem(error.toProblem(), null)
        }
        return isEqual
    }

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
        call.respondJson(200, json.encodeToString(ConfigDocument.serializer(), document))
    }

    /** Handles `POST /admin/publish`. */
    suspend fun publish(call: ApplicationCall) = change(call) { body ->
        val request = json.decodeFromString(PublishRequest.serializer(), body)
        val deletes = request.deletes.map {
            it.toKey() ?: throw SerializationException("unknown kind or name in $it")
        }
        ConfigEntry.Publish(
            Revision(request.baseRevision),
            request.upserts.map { it.toDeclaration() },
            deletes,
            request.author
        )
    }

    /** Handles `POST /admin/preset`. */
    suspend fun switchPreset(call: ApplicationCall) = change(call) { body ->
        val request = json.decodeFromString(SwitchPresetRequest.serializer(), body)
        ConfigEntry.SwitchPreset(
            Revision(request.baseRevision),
            PresetName(request.preset),
            request.author
        )
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
        val text = json.encodeToString(ListSerializer(HostDocument.serializer()), documents)
        call.respondJson(200, text)
    }

    /** Handles `GET /admin/endpoints`. */
    suspend fun endpoints(call: ApplicationCall) {
        val configuration: Configuration = published.configuration.value.configuration
        val documents = configuration.endpoints.map {
            EndpointStatusDocument(
                it.toDocument() as EndpointDocument,
                it.id in configuration.drainedEndpoints
            )
        }
        val serializer = ListSerializer(EndpointStatusDocument.serializer())
        call.respondJson(200, json.encodeToString(serializer, documents))
    }

    /** Handles `GET /admin/log?from=`. */
    suspend fun log(call: ApplicationCall) {
        val from = call.request.queryParameters["from"]?.toLongOrNull()?.coerceAtLeast(0) ?: 0
        streams.readConfig(LogOffset(from), MAX_LOG_RECORDS).fold(
            { call.respondProblem(it.toProblem(), null) },
            { page ->
                val documents = page.records.map { record ->
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
                }
                val serializer = ListSerializer(LogRecordDocument.serializer())
                call.respondJson(200, json.encodeToString(serializer, documents))
            }
        )
    }

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

    private suspend fun change(call: ApplicationCall, parse: (String) -> ConfigEntry) {
        bodies.read(call).fold(
            { call.respondProblem(it.toProblem(), null) },
            { body ->
                val entry = try {
                    parse(body.decodeToString(throwOnInvalidSequence = true))
                } catch (e: IllegalArgumentException) {
                    respondUnreadable(call, e.message)
                    return
                } catch (e: CharacterCodingException) {
                    respondUnreadable(call, e.message)
                    return
                }
                append(call, entry)
            }
        )
    }

    private suspend fun append(call: ApplicationCall, entry: ConfigEntry) {
        val from = published.configuration.value.nextOffset
        streams.appendConfig(entry, from).fold(
            { call.respondProblem(it.toProblem(), null) },
            { offset -> respondVerdict(call, offset, verdicts.await(offset, VERDICT_TIMEOUT_MS)) }
        )
    }

    private suspend fun respondVerdict(
        call: ApplicationCall,
        offset: LogOffset,
        verdict: ConfigVerdict?
    ) {
        when (verdict) {
            is ConfigVerdict.Accepted -> {
                val response = AcceptedResponse(verdict.revision.value, offset.value)
                call.respondJson(
                    200,
                    json.encodeToString(AcceptedResponse.serializer(), response)
                )
            }

            is ConfigVerdict.Conflict -> {
                val response =
                    ConflictResponse(verdict.winnerAuthor, verdict.currentRevision.value)
                call.respondJson(
                    409,
                    json.encodeToString(ConflictResponse.serializer(), response)
                )
            }

            is ConfigVerdict.Invalid -> {
                val response = FaultsResponse(verdict.faults)
                call.respondJson(422, json.encodeToString(FaultsResponse.serializer(), response))
            }

            is ConfigVerdict.CheckpointSeen, null -> {
                val detail = "the change is in the log at $offset, its result was not read in time"
                call.respondProblem(
                    Problem("outcome-unknown", "Outcome unknown", 502, detail),
                    null
                )
            }
        }
    }

    private suspend fun respondUnreadable(call: ApplicationCall, message: String?) {
        val detail = "expected the JSON of a change, found: ${message?.lineSequence()?.first()}"
        call.respondProblem(HttpError.BadRequest(detail).toProblem(), null)
    }

    private fun LogError.toProblem(): Problem = when (this) {
        is LogError.Unavailable ->
            Problem("not-run", "Not run", 503, "the log is down: $detail", RETRY_AFTER_MS)

        is LogError.Unknown ->
            Problem("outcome-unknown", "Outcome unknown", 502, "the log's answer was lost: $detail")
    }

    private suspend fun ApplicationCall.respondJson(status: Int, text: String) =
        respondText(text, ContentType.Application.Json, HttpStatusCode.fromValue(status))

    private companion object {
        const val VERDICT_TIMEOUT_MS = 5_000L
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_LOG_RECORDS = 200
    }
}
