package cowslipcart.cli

/** Entry point. */
public fun main(): Unit = println("cowslipcart cli")
