package cowslipcart.daemon.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import java.security.MessageDigest

/** Routes for operators; each call needs the operator token. */
internal class OperatorRoutes(
    private val views: OperatorViews,
    private val changes: OperatorChanges,
    private val outcomes: OutcomeApi,
    operatorToken: String
) {
    private val expectedToken = operatorToken.encodeToByteArray()

    /** Adds the routes below `/admin`. */
    fun install(parent: Route) {
        parent.route("/admin") {
            get("/config") { authorised { views.config(call) } }
            post("/publish") { authorised { changes.publish(call) } }
            post("/preset") { authorised { changes.switchPreset(call) } }
            get("/hosts") { authorised { views.hosts(call) } }
            get("/endpoints") { authorised { views.endpoints(call) } }
            get("/log") { authorised { views.log(call) } }
            get("/requests/{id}") {
                authorised { outcomes.showToOperator(call, call.parameters["id"].orEmpty()) }
            }
        }
    }

    private suspend fun RoutingContext.authorised(block: suspend () -> Unit) {
        if (isAuthorised(call)) return block()
        val error = HttpError.Unauthenticated("expected the operator's bearer token")
        call.respondProblem(error.toProblem(), null)
    }

    private fun isAuthorised(call: ApplicationCall): Boolean {
        val given = bearerToken(call.request.headers)?.encodeToByteArray() ?: return false
        return MessageDigest.isEqual(given, expectedToken)
    }
}
