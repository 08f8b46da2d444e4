package cowslipcart.experiment

/** Entry point. */
public fun main(): Unit = println("cowslipcart experiment")
