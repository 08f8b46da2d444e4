package cowslipcart.standins

/** Entry point. */
public fun main(): Unit = println("cowslipcart standins")
