package cowslipcart.experiment.scenario

/** Creates the UUIDv7 keys of a scenario by name; a key contains the time of its first use. */
internal class IdempotencyKeys(private val world: World) {
    private val uuids = HashMap<String, String>()

    fun uuidOf(name: String): String = uuids.getOrPut(name) {
        val time = "%012x".format(world.time.wallNowMs)
        val number = "%012x".format(uuids.size + 1)
        "${time.take(8)}-${time.drop(8)}-7000-8000-$number"
    }
}
