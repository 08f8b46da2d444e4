package cowslipcart.daemon.http

import cowslipcart.daemon.Metrics
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.PublishedState
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.isHandled
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingFailureStatusCode
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.InternalAPI

/** HTTP server of a daemon, for callers, operators, health checks and metrics. */
internal class HttpServer(
    private val callers: CallerApi,
    private val outcomes: OutcomeApi,
    private val operators: OperatorRoutes,
    private val published: PublishedState,
    private val metrics: Metrics
) {
    /** Binds [listen] and serves; the caller stops the returned server. */
    fun start(listen: SocketAddressSetting): EmbeddedServer<*, *> =
        embeddedServer(CIO, port = listen.port, host = listen.ip) {
            intercept(ApplicationCallPipeline.Plugins) {
                val fault = findHeaderFault(call)
                if (fault != null) {
                    call.respondProblem(HttpError.BadRequest(fault).toProblem(), null)
                    finish()
                }
            }
            routing {
                callerRoutes()
                operators.install(this)
                healthRoutes()
            }
            // Runs after routing and before the phase Fallback, where Ktor sends an empty answer.
            intercept(ApplicationCallPipeline.Call) {
                if (!call.isHandled) call.respondProblem(findRouteFault(call).toProblem(), null)
            }
        }.start(wait = false)

    private fun Route.callerRoutes() {
        post("/v1/chat/completions") { callers.chat(call) }
        get("/v1/requests/{id}") { outcomes.showToCaller(call, call.parameters["id"].orEmpty()) }
        route("/services/{pool}/{path...}") {
            handle {
                val pool = call.parameters["pool"].orEmpty()
                val path = call.parameters.getAll("path").orEmpty().joinToString("/", "/")
                callers.service(call, pool, path)
            }
        }
    }

    private fun Route.healthRoutes() {
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            if (published.isReady) {
                call.respondText("ready\n")
            } else {
                val missing = if (published.isDraining.value) {
                    listOf("shutting down")
                } else {
                    published.readiness.value.missing
                }
                call.respondText(
                    missing.joinToString("\n", "not ready\n", "\n"),
                    ContentType.Text.Plain,
                    HttpStatusCode.ServiceUnavailable
                )
            }
        }
        get("/metrics") {
            call.respondBytes(metrics.render(), ContentType.Text.Plain)
        }
    }

    /** Returns 405 for a wrong method, 404 for a path that does not exist. */
    @OptIn(InternalAPI::class)
    private fun findRouteFault(call: ApplicationCall): HttpError {
        val status = call.attributes.getOrNull(RoutingFailureStatusCode) ?: HttpStatusCode.NotFound
        val path = call.request.path().take(MAX_QUOTED)
        val detail = "no route for ${call.request.httpMethod.value} $path"
        return HttpError.BadRequest(detail, status.value)
    }

    /** Returns which limit the headers exceed, or null. */
    private fun findHeaderFault(call: ApplicationCall): String? {
        val headers = call.request.headers
        val count = headers.entries().sumOf { it.value.size }
        if (count > MAX_HEADERS) return "headers: expected at most $MAX_HEADERS, found $count"
        val chars = headers.entries().sumOf { (name, values) ->
            values.sumOf { name.length + it.length }
        }
        if (chars > MAX_HEADER_CHARS) {
            return "headers: expected at most $MAX_HEADER_CHARS characters, found $chars"
        }
        return null
    }

    private companion object {
        const val MAX_HEADERS = 64
        const val MAX_QUOTED = 80
        const val MAX_HEADER_CHARS = 16 * 1024
    }
}
