package cowslipcart.systemtest

import java.nio.file.Path
import kotlin.random.Random

/** Which builds of the gateway a cluster runs. */
internal sealed interface GatewayBuilds {
    /** Returns the program of the next gateway that starts. */
    fun next(): Path

    /** The build under test only. */
    data object One : GatewayBuilds {
        override fun next(): Path = Program.GATEWAY.jar
    }

    /**
     * The build under test and [other], drawn by [random] at each start, so that gateways are
     * upgraded and downgraded while both builds serve.
     */
    class Mixed(private val other: Path, private val random: Random) : GatewayBuilds {
        override fun next(): Path = if (random.nextBoolean()) Program.GATEWAY.jar else other
    }
}
