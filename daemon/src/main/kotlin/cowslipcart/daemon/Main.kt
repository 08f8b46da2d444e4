package cowslipcart.daemon

/** Entry point. */
public fun main(): Unit = println("cowslipcart daemon")
