package cowslipcart.experiment.slopes

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.config.createConfigReplica
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import kotlin.random.Random

/** Time to apply one change to a configuration with many organisations. */
internal fun measureChanges(): List<Slope> {
    val changes: List<Pair<String, (Long) -> ConfigEntry>> = listOf(
        "a switch" to { base -> Samples.switch(base) },
        "a publication of one organisation" to { base ->
            publication(base, Samples.organisation(1).copy(weight = base.toDouble()))
        },
        "a publication of one endpoint" to { base ->
            publication(base, Samples.endpoint(1).copy(slotCount = base.toInt()))
        }
    )
    return changes.flatMap { (name, entry) ->
        listOf(
            slopeOf("time of the replica for $name", entry, ::createApply),
            slopeOf("time of a host among 350 for $name", entry, ::createHost)
        )
    }
}

private fun publication(base: Long, upsert: Declaration) =
    ConfigEntry.Publish(Revision(base), listOf(upsert), emptyList(), "slopes")

private fun slopeOf(
    name: String,
    entry: (Long) -> ConfigEntry,
    create: () -> ((ConfigRecord) -> Unit)
): Slope {
    val points = ORGANISATION_COUNTS.map { count ->
        val apply = create()
        apply(record(0, Samples.publish(count, 600, shardCount = 200)))
        var offset = 1L
        repeat(WARM_UP) { apply(record(offset, entry(offset++))) }
        val records = (0 until CHANGES).map { record(offset, entry(offset++)) }
        Slope.Point(count.toDouble(), Meter.cpuUs { records.forEach(apply) } / CHANGES)
    }
    return Slope(name, "organisations", "us", points)
}

private fun createApply(): (ConfigRecord) -> Unit {
    val replica = createConfigReplica()
    return { replica.apply(listOf(it), LogOffset(0)) }
}

/** Creates a host that knows [HOSTS] - 1 live peers; returns how it handles a record. */
private fun createHost(): (ConfigRecord) -> Unit {
    val controller = createHostController(Samples.identity(0), Random(1))
    for (number in 1 until HOSTS) {
        val from = Samples.identity(number)
        val ping = PingContent(from, 1, HostState.LIVE, 0, LogOffset(0), emptyList())
        controller.handle(
            HostInput.PeerMessageReceived(from.host, PeerMessage.Ping(ping, true, true)),
            nowMs = 0
        )
    }
    return { record ->
        val end = record.offset.next()
        controller.handle(HostInput.ConfigRead(listOf(record), LogOffset(0), end, 0), nowMs = 0)
    }
}

private fun record(offset: Long, entry: ConfigEntry) =
    ConfigRecord(LogOffset(offset), DirectNetwork.WALL_START_MS, entry)

private val ORGANISATION_COUNTS = listOf(1_000, 5_000, 23_000)
private const val WARM_UP = 30
private const val CHANGES = 30
private const val HOSTS = 350
