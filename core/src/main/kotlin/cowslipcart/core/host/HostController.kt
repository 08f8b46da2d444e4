package cowslipcart.core.host

/**
 * Control state of one host. The control thread handles the inputs one after the other; each
 * returns the effects that the I/O around the core has to perform. `nowMs` is monotonic time in
 * milliseconds.
 */
public interface HostController {
    /** Number of requests that are neither finished nor rejected. */
    public val openRequestCount: Int

    /** Handles one input and returns its effects in order. */
    public fun handle(input: HostInput, nowMs: Long): List<HostEffect>
}
