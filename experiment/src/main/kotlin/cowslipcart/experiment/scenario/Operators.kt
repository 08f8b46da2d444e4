package cowslipcart.experiment.scenario

import arrow.core.Either
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Configuration changes that operators submit through a host, and their verdicts. */
internal class Operators(private val world: World) {
    private val offsets = HashMap<String, LogOffset>()
    private val failed = HashSet<String>()
    private val verdicts = HashMap<LogOffset, ConfigVerdict>()

    /** Appends the [entry] of change [name] through [host]. */
    fun publish(name: String, host: HostId, entry: ConfigEntry) {
        world.time.note("operator: change $name through $host")
        world.log.append(world.log.config, entry, host) { result ->
            when (result) {
                is Either.Left -> failed += name
                is Either.Right -> offsets[name] = result.value
            }
        }
    }

    fun onVerdict(verdict: ConfigVerdict) {
        verdicts[verdict.offset] = verdict
    }

    /** Returns `accepted`, `conflict`, `invalid`, `failed` (the log was down) or `undecided`. */
    fun statusOf(name: String): String {
        if (name in failed) return "failed"
        return when (offsets[name]?.let { verdicts[it] }) {
            is ConfigVerdict.Accepted -> "accepted"
            is ConfigVerdict.Conflict -> "conflict"
            is ConfigVerdict.Invalid -> "invalid"
            is ConfigVerdict.Checkpoint, null -> "undecided"
        }
    }
}
