package cowslipcart.cli

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.config.createConfigReplica
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.ConfigDocument
import cowslipcart.wire.admin.ConflictResponse
import cowslipcart.wire.admin.FaultsResponse
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.LogRecordDocument
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.RequestDocument
import cowslipcart.wire.admin.SwitchPresetRequest
import cowslipcart.wire.admin.toDocument
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Operator API of one configuration replica in memory, on a free port. */
internal class StubDaemon : AutoCloseable {
    val replica = createConfigReplica()
    var lastAuthorization: String? = null

    /** Runs before each change is applied; a test can make a conflicting change here. */
    var beforeChange: () -> Unit = {}
    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing { adminRoutes() }
    }.start()
    val url = "http://127.0.0.1:" + runBlocking { server.engine.resolvedConnectors().first().port }

    override fun close() = server.stop(0, 0)

    fun apply(entry: ConfigEntry): ConfigVerdict {
        val offset = replica.state.nextOffset
        return replica.apply(listOf(ConfigRecord(offset, 0, entry)), offset).single()
    }

    private fun Route.adminRoutes() {
        get("/admin/config") {
            lastAuthorization = call.request.headers["Authorization"]
            val configuration = replica.state.configuration
            val document = ConfigDocument(
                configuration.revision.value,
                replica.state.nextOffset.value,
                configuration.presetInForce?.value,
                configuration.declarations.values.map { it.toDocument() }
            )
            call.respond(ConfigDocument.serializer(), document)
        }
        post("/admin/publish") {
            val request = Json.decodeFromString(PublishRequest.serializer(), call.receiveText())
            change(
                ConfigEntry.Publish(
                    Revision(request.baseRevision),
                    request.upserts.map { it.toDeclaration() },
                    request.deletes.mapNotNull { it.toKey() },
                    request.author
                )
            )
        }
        post("/admin/preset") {
            val request = Json.decodeFromString(
                SwitchPresetRequest.serializer(),
                call.receiveText()
            )
            val base = Revision(request.baseRevision)
            change(ConfigEntry.SwitchPreset(base, PresetName(request.preset), request.author))
        }
        get("/admin/hosts") {
            val hosts = listOf(
                HostDocument(
                    "h0",
                    "127.0.0.1:9001",
                    "fukuoka",
                    true,
                    replica.state.configuration.revision.value
                ),
                HostDocument("h1", "127.0.0.1:9002", "kumamoto", true)
            )
            call.respond(ListSerializer(HostDocument.serializer()), hosts)
        }
        get("/admin/requests/r1") {
            call.respond(RequestDocument.serializer(), RequestDocument("r1", "completed"))
        }
        get("/admin/log") {
            val from = call.request.queryParameters["from"]?.toLong() ?: 0
            val record = LogRecordDocument(from, 0, "publish", "mari", 0, "1 upserts, 0 deletes")
            call.respond(ListSerializer(LogRecordDocument.serializer()), listOf(record))
        }
    }

    private suspend fun io.ktor.server.routing.RoutingContext.change(entry: ConfigEntry) {
        beforeChange()
        when (val verdict = apply(entry)) {
            is ConfigVerdict.Accepted -> call.respond(
                AcceptedResponse.serializer(),
                AcceptedResponse(verdict.revision.value, verdict.offset.value)
            )

            is ConfigVerdict.Conflict -> call.respond(
                ConflictResponse.serializer(),
                ConflictResponse(verdict.winnerAuthor, verdict.currentRevision.value),
                status = 409
            )

            is ConfigVerdict.Invalid ->
                call.respond(FaultsResponse.serializer(), FaultsResponse(verdict.faults), 422)

            is ConfigVerdict.Checkpoint -> error("expected a change, got $verdict")
        }
    }

    private suspend fun <T> ApplicationCall.respond(
        serializer: SerializationStrategy<T>,
        document: T,
        status: Int = 200
    ) = respondText(
        Json.encodeToString(serializer, document),
        status = HttpStatusCode.fromValue(status)
    )
}
