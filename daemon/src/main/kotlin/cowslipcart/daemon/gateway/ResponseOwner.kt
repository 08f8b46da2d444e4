package cowslipcart.daemon.gateway

import cowslipcart.core.model.RequestId

/** Which request a response belongs to, as far as its connection and its headers show. */
internal sealed interface ResponseOwner {
    data object ThisRequest : ResponseOwner

    data object OtherRequest : ResponseOwner

    /** The response names no request and may repeat one to an earlier request. */
    data object Unknown : ResponseOwner

    companion object {
        /**
         * Returns the owner of a response that names [stated], received for the request [expected].
         * A response without an id is taken only if it is the first on its connection
         * ([isFirstOnConnection]), as no earlier response can be repeated there.
         */
        fun of(
            stated: RequestId?,
            expected: RequestId,
            isFirstOnConnection: Boolean
        ): ResponseOwner = when (stated) {
            expected -> ThisRequest
            null -> if (isFirstOnConnection) ThisRequest else Unknown
            else -> OtherRequest
        }
    }
}
