package cowslipcart.core.forwarding

import cowslipcart.core.model.VersionId

/** Two hosts that tell each other of streams, and a store of versions that can be reverted. */
internal class StreamFleet {
    private val hosts = mutableListOf<ForwardingFixture>()
    private var entries = emptyList<EndpointEntry>()
    private var nowMs = 0L

    /** Versions in the store. */
    val stored = mutableSetOf<PoolVersion>()
    private val kept = mutableMapOf<StreamKey, VersionId>()
    private var watchedHost: ForwardingFixture? = null
    private var watchedCall: CallId? = null

    /** Commands for the watched call. */
    val watched = mutableListOf<CallCommand>()

    init {
        hosts += List(2) { start(it, incarnation = 1) }
    }

    fun host(index: Int): ForwardingFixture = hosts[index]

    private fun start(index: Int, incarnation: Long): ForwardingFixture {
        val host = ForwardingFixture(host = "host-$index", incarnation = incarnation)
        host.nowMs = nowMs
        host.onEffects = { onEffects(host, it) }
        host.send(ForwardingInput.EndpointsChanged(entries))
        host.send(ForwardingInput.StreamsTold(kept.toMap()))
        host.send(ForwardingInput.VersionsRead(stored.toSet()))
        return host
    }

    /** Restarts the host at [index] with what the store holds. */
    fun restart(index: Int) {
        hosts[index] = start(index, incarnation = 2)
    }

    fun restartAll() = hosts.indices.forEach { restart(it) }

    /** All hosts learn that [next] is the list of endpoints. */
    fun list(next: List<EndpointEntry>) {
        entries = next
        for (host in hosts) host.send(ForwardingInput.EndpointsChanged(next))
    }

    /** Whether the hosts don't hear each other. */
    var areCut = false

    /** The list of endpoints becomes [next]; only [host] learns of it. */
    fun listAt(host: ForwardingFixture, next: List<EndpointEntry>) {
        entries = next
        host.send(ForwardingInput.EndpointsChanged(next))
    }

    /** The store comes back without its newest version. */
    fun revertStore() {
        stored -= stored.maxBy { it.version }
        for (host in hosts) host.send(ForwardingInput.StoreReplaced)
    }

    /** Records the commands for [call] of [host], in place of an earlier call. */
    fun watch(host: ForwardingFixture, call: CallId) {
        watchedHost = host
        watchedCall = call
        watched.clear()
    }

    /** Lets [durationMs] pass on all hosts. */
    fun pass(durationMs: Long) {
        repeat((durationMs / TICK_MS).toInt()) {
            nowMs += TICK_MS
            for (host in hosts.toList()) {
                host.nowMs = nowMs
                host.send(ForwardingInput.Tick)
            }
        }
    }

    private fun onEffects(from: ForwardingFixture, effects: List<ForwardingEffect>) {
        for (effect in effects) {
            when (effect) {
                is ForwardingEffect.Stream -> perform(from, effect.effect)

                is ForwardingEffect.Command ->
                    if (from === watchedHost && effect.call.id == watchedCall) {
                        watched += effect.command
                    }

                is ForwardingEffect.LogStateChange,
                is ForwardingEffect.Quarantine,
                is ForwardingEffect.Probe,
                is ForwardingEffect.TellLost,
                is ForwardingEffect.ReachChanged,
                is ForwardingEffect.Rollout -> Unit
            }
        }
    }

    private fun perform(from: ForwardingFixture, effect: StreamEffect) {
        val others = if (areCut) emptyList() else hosts.filter { it !== from }
        when (effect) {
            is StreamEffect.Tell ->
                others.forEach { it.send(ForwardingInput.StreamsTold(effect.versions)) }

            is StreamEffect.Ask ->
                others.forEach { it.send(ForwardingInput.StreamAsked(from.host, effect.stream)) }

            is StreamEffect.Answer -> others.filter { it.host == effect.host }.forEach {
                it.send(ForwardingInput.StreamsTold(mapOf(effect.stream to effect.version)))
            }

            is StreamEffect.Keep -> kept += effect.versions

            is StreamEffect.Store -> {
                stored += effect.version
                from.send(ForwardingInput.VersionStored(effect.version))
            }

            is StreamEffect.Remove -> stored -= effect.version

            StreamEffect.Confirm -> {
                val listed = entries.map { PoolVersion(it.pool, it.version) }
                from.send(ForwardingInput.VersionsConfirmed(stored + listed, from.nowMs))
            }
        }
    }

    private companion object {
        const val TICK_MS = 20L
    }
}
