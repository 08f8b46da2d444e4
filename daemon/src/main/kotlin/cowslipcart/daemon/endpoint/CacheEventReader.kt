package cowslipcart.daemon.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import cowslipcart.core.capacity.NumberedCacheEvent
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.model.PrefixBlock
import cowslipcart.daemon.Metrics
import io.ktor.client.HttpClient
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.isSuccess
import io.ktor.utils.io.readRemaining
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Why a page of cache events could not be read. */
internal sealed interface CacheReadError {
    data class Status(val actual: Int) : CacheReadError {
        override fun toString() = "expected status 200, found $actual"
    }

    data class Unreachable(val detail: String) : CacheReadError {
        override fun toString() = "expected an answer, found $detail"
    }

    data class Malformed(val detail: String) : CacheReadError {
        override fun toString() = "expected a page of cache events, found $detail"
    }
}

/** Cache events in order; [isTruncated] if the page was cut off at the size limit. */
internal class CachePage(
    val events: List<NumberedCacheEvent>,
    val isTruncated: Boolean,
    val sizeBytes: Int
)

/** Reads pages of cache events of endpoints: `GET /cache-events?from=`. */
internal class CacheEventReader(
    private val scope: CoroutineScope,
    private val client: HttpClient,
    private val metrics: Metrics,
    private val submit: (HostInput) -> Unit
) {
    /** Reads a page in the background and submits it, or the failure, to the controller. */
    fun startRead(effect: HostEffect.ReadCacheEvents) {
        scope.launch {
            val id = effect.endpoint.id
            val page = read(effect)
            metrics.cacheReads.labelValues(page.fold({ "failed" }, { "read" })).inc()
            submit(
                page.fold(
                    { HostInput.CacheReadFailed(id) },
                    {
                        metrics.cacheReadBytes.inc(it.sizeBytes.toDouble())
                        val isTruncated = it.isTruncated
                        HostInput.CacheRead(
                            id,
                            effect.fromIndex,
                            it.events,
                            isTruncated,
                            it.sizeBytes
                        )
                    }
                )
            )
        }
    }

    private suspend fun read(
        effect: HostEffect.ReadCacheEvents
    ): Either<CacheReadError, CachePage> {
        val url = "http://${effect.endpoint.address}/cache-events?from=${effect.fromIndex}"
        return try {
            withTimeoutOrNull(TIMEOUT_MS) {
                client.prepareGet(url).execute { response ->
                    if (!response.status.isSuccess()) {
                        return@execute CacheReadError.Status(response.status.value).left()
                    }
                    val limitBytes = effect.maxBytes + 1L
                    val body = response.bodyAsChannel().readRemaining(limitBytes).readByteArray()
                    parseCachePage(body, effect.maxBytes)
                }
            } ?: CacheReadError.Unreachable("none in $TIMEOUT_MS ms").left()
        } catch (e: IOException) {
            CacheReadError.Unreachable(e.javaClass.simpleName).left()
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L
    }
}

@Serializable
private class CacheEventDocument(val index: Long, val block: String, val stored: Boolean)

@Serializable
private class CachePageDocument(val events: List<CacheEventDocument> = emptyList())

/**
 * Parses a page. Of a [body] longer than [maxBytes] only the events that are complete within the
 * first [maxBytes] are returned; the next read requests the rest.
 */
internal fun parseCachePage(
    body: ByteArray,
    maxBytes: Int
): Either<CacheReadError.Malformed, CachePage> = either {
    val isTruncated = body.size > maxBytes
    val text = if (isTruncated) {
        val start = body.decodeToString(endIndex = maxBytes)
        start.substring(0, start.lastIndexOf('}') + 1) + "]}"
    } else {
        body.decodeToString()
    }
    val events = decode(text).bind().events.map { event ->
        val block = event.block.toULongOrNull(radix = 16)
        ensure(block != null && event.index >= 0) {
            CacheReadError.Malformed("event ${event.index} with block '${event.block.take(32)}'")
        }
        NumberedCacheEvent(event.index, PrefixBlock(block.toLong()), event.stored)
    }
    CachePage(events, isTruncated, minOf(body.size, maxBytes))
}

private fun decode(text: String): Either<CacheReadError.Malformed, CachePageDocument> = try {
    json.decodeFromString<CachePageDocument>(text).right()
} catch (e: SerializationException) {
    CacheReadError.Malformed(e.message.orEmpty().lineSequence().first()).left()
}

private val json = Json { ignoreUnknownKeys = true }
