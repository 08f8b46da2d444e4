package cowslipcart.daemon.http

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.daemon.control.ConfigVerdictFeed
import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.platform.PlatformStreams
import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.ConflictResponse
import cowslipcart.wire.admin.FaultsResponse
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.SwitchPresetRequest
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Handles configuration changes by operators. A change is appended to the log; the order of the log
 * decides between concurrent changes.
 */
internal class OperatorChanges(
    private val published: PublishedState,
    private val streams: PlatformStreams,
    private val verdicts: ConfigVerdictFeed,
    private val bodyReader: BodyReader
) {
    /** Handles `POST /admin/publish`. */
    suspend fun publish(call: ApplicationCall) = change(call) { body ->
        val request = Json.decodeFromString<PublishRequest>(body)
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
        val request = Json.decodeFromString<SwitchPresetRequest>(body)
        ConfigEntry.SwitchPreset(
            Revision(request.baseRevision),
            PresetName(request.preset),
            request.author
        )
    }

    /** Reads the body, appends the entry that [parse] returns and answers with its verdict. */
    private suspend fun change(call: ApplicationCall, parse: (String) -> ConfigEntry) {
        bodyReader.read(call).fold(
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
                call.respondJson(AcceptedResponse(verdict.revision.value, offset.value))
            }

            is ConfigVerdict.Conflict -> {
                val response =
                    ConflictResponse(verdict.winnerAuthor, verdict.currentRevision.value)
                call.respondJson(response, HttpStatusCode.Conflict)
            }

            is ConfigVerdict.Invalid -> {
                val response = FaultsResponse(verdict.faults)
                call.respondJson(response, HttpStatusCode.UnprocessableEntity)
            }

            is ConfigVerdict.Checkpoint, null -> {
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

    private companion object {
        const val VERDICT_TIMEOUT_MS = 5_000L
    }
}
