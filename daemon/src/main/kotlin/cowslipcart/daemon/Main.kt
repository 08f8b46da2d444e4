package cowslipcart.daemon

import com.github.ajalt.clikt.core.main

/** Entry point of `cowslipcartd`. */
public fun main(args: Array<String>): Unit = DaemonCommand().main(args)
