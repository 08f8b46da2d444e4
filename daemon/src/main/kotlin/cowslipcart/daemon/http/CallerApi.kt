package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.raise.either
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.host.HostInput
import cowslipcart.core.model.Configuration
import cowslipcart.core.origin.CallerRequest
import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.endpoint.AnswerWriter
import cowslipcart.daemon.endpoint.EndpointContext
import cowslipcart.daemon.endpoint.Exchange
import cowslipcart.daemon.endpoint.ModelExchange
import cowslipcart.daemon.endpoint.ServiceCall
import cowslipcart.daemon.endpoint.ServiceExchange
import cowslipcart.daemon.session.AnswerRecorder
import cowslipcart.daemon.session.RequestSession
import cowslipcart.daemon.session.RequestTimeline
import cowslipcart.daemon.session.SessionRegistry
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.queryString
import kotlinx.coroutines.CoroutineScope

/** Handles callers' requests: parses each one and runs a session for it. */
internal class CallerApi(
    private val published: PublishedState,
    private val authenticator: CallerAuthenticator,
    private val factory: RequestFactory,
    private val context: EndpointContext,
    private val registry: SessionRegistry,
    private val scope: CoroutineScope,
    private val bodyReader: BodyReader,
    private val submit: (HostInput) -> Unit
) {
    /** Handles `POST /v1/chat/completions`. */
    suspend fun chat(call: ApplicationCall) {
        val timeline = RequestTimeline(context.clock)
        val startMs = context.clock.nowMs()
        val prepared = either {
            val organisation = authenticator.authenticateRequest(call.request.headers).bind()
            val body = bodyReader.read(call).bind()
            val chat = ChatRequest.parse(body).bind()
            val configuration = published.configuration.value.configuration
            val request =
                factory.chat(chat, call.request.headers, organisation, configuration).bind()
            newSession(request, modelExchange(request, chat), timeline)
        }
        serve(call, prepared, startMs)
    }

    /** Handles a call under `/services/{pool}`. */
    suspend fun service(call: ApplicationCall, pool: String, path: String) {
        val timeline = RequestTimeline(context.clock)
        val startMs = context.clock.nowMs()
        val prepared = either {
            val organisation = authenticator.authenticateRequest(call.request.headers).bind()
            val body = bodyReader.read(call).bind()
            val query = call.request.queryString().let { if (it.isEmpty()) "" else "?$it" }
            val method = call.request.httpMethod.value
            val incoming = IncomingServiceCall(pool, method, path, path + query, body)
            val configuration = published.configuration.value.configuration
            val request = factory
                .service(incoming, call.request.headers, organisation, configuration).bind()
            val contentType = readContentType(call.request.headers).bind()
            newSession(request, serviceExchange(request, incoming, contentType), timeline)
        }
        serve(call, prepared, startMs)
    }

    private fun modelExchange(request: CallerRequest, chat: ChatRequest): Exchange {
        val recorder = recorderFor(request.key)
        val answer = if (chat.isStream) {
            AnswerWriter.Streamed(recorder)
        } else {
            AnswerWriter.Buffered(request.requestId.value, chat.model, recorder)
        }
        return ModelExchange(
            context,
            request.requestId,
            chat.toEndpointBody(),
            answer,
            recorder,
            request.prefillTokens
        )
    }

    private fun serviceExchange(
        request: CallerRequest,
        incoming: IncomingServiceCall,
        contentType: ContentType?
    ): Exchange {
        val serviceCall = ServiceCall(
            incoming.method,
            incoming.pathAndQuery,
            contentType,
            incoming.body,
            request.key?.uuid
        )
        return ServiceExchange(context, request.requestId, serviceCall, recorderFor(request.key))
    }

    private fun recorderFor(key: RequestKey?) =
        key?.let { AnswerRecorder(AnswerRecorder.MAX_BYTES) }

    private fun newSession(request: CallerRequest, exchange: Exchange, timeline: RequestTimeline) =
        RequestSession(request, exchange, context.clock, submit, timeline, registry::remove)

    private suspend fun serve(
        call: ApplicationCall,
        prepared: Either<HttpError, RequestSession>,
        startMs: Long
    ) {
        prepared.fold(
            { error -> call.respondProblem(error.toProblem(), null) },
            { session ->
                registry.add(session)
                session.start(scope)
                SessionResponse(session, context, tierName(session.request)).write(call, startMs)
            }
        )
    }

    private fun tierName(request: CallerRequest): String {
        val configuration: Configuration = published.configuration.value.configuration
        return configuration.tiers[request.tier]?.name ?: request.tier.toString()
    }
}
