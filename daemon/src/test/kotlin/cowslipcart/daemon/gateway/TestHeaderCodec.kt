package cowslipcart.daemon.gateway

import cowslipcart.core.model.RequestId
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead

/** Codec with header names of the tests. */
internal object TestHeaderCodec : HeaderCodec {
    const val REQUEST_ID = "Test-Request"
    const val SIGNATURE = "Test-Signature"
    const val DECLINED = "Test-Declined"

    override fun decodeRequest(head: RequestHead): RequestMetadata =
        RequestMetadata(head.headers[REQUEST_ID]?.let { RequestId(it) }, null, null, null, listOf())

    override fun endpointHeaders(head: RequestHead, metadata: ForwardingMetadata): List<Header> =
        head.headers.lines

    override fun decodeResponse(head: ResponseHead): ResponseMetadata = ResponseMetadata(
        requestId = head.headers[REQUEST_ID]?.let { RequestId(it) },
        isSigned = head.headers[SIGNATURE] != null,
        isDeclined = head.headers[DECLINED] != null
    )
}
