package cowslipcart.daemon.gateway

import cowslipcart.core.model.RequestId
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead

/** Codec for requests that state nothing and endpoints that sign every response. */
internal object BareHeaderCodec : HeaderCodec {
    val REQUEST_ID = RequestId("r")

    override fun decodeRequest(head: RequestHead): RequestMetadata =
        RequestMetadata(REQUEST_ID, null, null, null, emptyList())

    override fun endpointHeaders(head: RequestHead, metadata: ForwardingMetadata): List<Header> =
        listOf(Header("Host", "endpoint"))

    override fun decodeResponse(head: ResponseHead): ResponseMetadata =
        ResponseMetadata(REQUEST_ID, isSigned = true, isDeclined = false)
}
