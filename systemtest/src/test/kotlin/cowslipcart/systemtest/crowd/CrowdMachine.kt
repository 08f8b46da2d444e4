package cowslipcart.systemtest.crowd

import cowslipcart.systemtest.deployedJvmOptions

/**
 * Machine of a gateway as its settings state it, and the largest body that the published
 * configuration allows.
 */
internal class CrowdMachine(
    val memoryMb: Int,
    val maxFds: Int,
    val bodyBytes: Int,
    private val heapMb: Int?
) {
    /** Sockets and pipes that a process may have; the others are reserved for files. */
    val maxSockets: Int get() = maxFds - FILE_FDS

    /** `limits` of the settings. */
    val limits: String
        get() = """{"cpuShare":1.0,"cores":1,"memoryMb":$memoryMb,"maxFds":$maxFds}"""

    /** Options of the deployed gateway, with the heap of this machine. */
    fun jvmOptions(): List<String> = deployedJvmOptions().map {
        if (heapMb != null && it.startsWith("-Xmx")) "-Xmx${heapMb}m" else it
    }

    companion object {
        /** Descriptors that the platform reserves for files. */
        private const val FILE_FDS = 200

        /** A machine on which a small crowd asks for more than there is. */
        val LOWERED =
            CrowdMachine(memoryMb = 192, maxFds = 400, bodyBytes = 1_048_576, heapMb = 32)

        /** The smallest machine of a deployment, with the deployed heap and configuration. */
        val SMALLEST =
            CrowdMachine(memoryMb = 266, maxFds = 2_069, bodyBytes = 4_194_304, heapMb = null)
    }
}
