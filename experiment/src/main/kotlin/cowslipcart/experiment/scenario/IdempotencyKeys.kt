package cowslipcart.experiment.scenario

/** UUIDv7 keys by name; a key gets the time of its first use. */
internal class KeySource(private val world: World) {
    private val uuids = HashMap<String, String>()

    fun uuidOf(name: String): String = uuids.getOrPut(name) {
        val time = "%012x".format(world.time.wallNowMs)
        val number = "%012x".format(uuids.size + 1)
        "${time.take(8)}-${time.drop(8)}-7000-8000-$number"
    }
}
