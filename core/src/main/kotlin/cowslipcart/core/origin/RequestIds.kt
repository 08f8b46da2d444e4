package cowslipcart.core.origin

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.RequestId

/**
 * Returns the id of request [number] of [process]. The id contains the process, so that any host
 * can ask it for the outcome of the request.
 */
public fun requestIdOf(process: ProcessId, number: Long): RequestId =
    RequestId("${process.host}$SEPARATOR${process.incarnation}$SEPARATOR$number")

/** Returns the process that received the request, or null if the id has another form. */
public fun originOf(requestId: RequestId): ProcessId? {
    val parts = requestId.value.split(SEPARATOR)
    if (parts.size != 3) return null
    val incarnation = parts[1].toULongOrNull(radix = 16) ?: return null
    return ProcessId(HostId(parts[0]), IncarnationId(incarnation.toLong()))
}

private const val SEPARATOR = "~"
