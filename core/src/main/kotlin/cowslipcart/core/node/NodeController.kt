package cowslipcart.core.node

/**
 * Control state of one host. Every input is handled on the control thread, one after the other, and
 * returns what the I/O around the core has to do. `nowMs` is monotonic time in milliseconds.
 */
public interface NodeController {
    /** Requests that are neither finished nor rejected. */
    public val openRequestCount: Int

    /** Handles one input and returns its effects in order. */
    public fun handle(input: NodeInput, nowMs: Long): List<NodeEffect>
}
