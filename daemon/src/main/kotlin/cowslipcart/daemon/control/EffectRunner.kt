package cowslipcart.daemon.control

import cowslipcart.core.capacity.CacheGap
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.OrderEffect
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.endpoint.CacheEventReader
import cowslipcart.daemon.endpoint.LoadPoller
import cowslipcart.daemon.endpoint.OrderRunner
import cowslipcart.daemon.peer.PeerNetwork
import cowslipcart.daemon.platform.PlatformStreams
import cowslipcart.daemon.session.SessionCommand
import cowslipcart.daemon.session.SessionRegistry
import org.slf4j.LoggerFactory

/** Hands each effect to the component that performs it; never blocks. */
internal class EffectRunner(
    private val published: PublishedState,
    private val registry: SessionRegistry,
    private val peers: PeerNetwork,
    private val streams: PlatformStreams,
    private val loadPoller: LoadPoller,
    private val verdicts: ConfigVerdictFeed,
    private val outcomes: ControlOutcomeLookup,
    private val decisionLog: DecisionLog,
    private val orderRunner: OrderRunner,
    private val cacheEvents: CacheEventReader,
    private val metrics: Metrics
) : EffectHandler {
    private val log = LoggerFactory.getLogger(EffectRunner::class.java)

    override fun perform(effect: HostEffect, decidedAtMs: Long) {
        when (effect) {
            is HostEffect.SendPeer -> peers.send(effect.to, effect.address, effect.message)

            is HostEffect.ClosePeerConnections -> peers.forget(effect.host)

            is HostEffect.Dispatch -> registry.send(
                effect.requestId,
                SessionCommand.Dispatch(
                    effect.grantId,
                    effect.shard,
                    effect.endpoint,
                    effect.isResume,
                    decidedAtMs
                )
            )

            is HostEffect.InterruptStream ->
                registry.send(effect.requestId, SessionCommand.Interrupt)

            is HostEffect.CancelStream -> registry.send(effect.requestId, SessionCommand.Cancel)

            is HostEffect.Reject ->
                registry.send(effect.requestId, SessionCommand.Reject(effect.rejection))

            is HostEffect.Replay ->
                registry.send(effect.requestId, SessionCommand.Replay(effect.answer))

            is HostEffect.AppendClaims ->
                streams.appendClaims(effect.partition, effect.batchId, effect.items)

            is HostEffect.ReadClaims -> streams.readClaims(effect.partition, effect.from)

            is HostEffect.AppendEpoch -> streams.appendEpoch(effect.entry)

            is HostEffect.AppendConfig -> streams.appendConfigAsync(effect.entry)

            HostEffect.ReadConfigNow -> streams.readConfigNow()

            is HostEffect.ReportConfigVerdict -> verdicts.publish(effect.verdict)

            is HostEffect.PublishConfiguration -> publish(effect)

            is HostEffect.PublishReadiness -> {
                log.info("ready: {}, missing: {}", effect.isReady, effect.missing)
                published.readiness.value = Readiness(effect.isReady, effect.missing)
            }

            is HostEffect.PollLoad -> loadPoller.watch(effect.endpoints)

            is HostEffect.ReadCacheEvents -> cacheEvents.startRead(effect)

            is HostEffect.ReportCacheGap -> reportCacheGap(effect)

            is HostEffect.ReportOutcome -> outcomes.complete(effect.queryId, effect.outcome)

            is HostEffect.LogDecision -> decisionLog.write(effect.decision)

            is HostEffect.PublishHosts -> published.hosts.value = effect.hosts

            is OrderEffect -> performOrder(effect)
        }
    }

    private fun reportCacheGap(effect: HostEffect.ReportCacheGap) {
        when (val gap = effect.gap) {
            is CacheGap.Missing -> metrics.missingCacheEvents.inc(gap.count.toDouble())

            CacheGap.Restarted -> {
                metrics.cacheRestarts.inc()
                log.info("cache event sequence of endpoint {} restarted", effect.endpoint)
            }
        }
    }

    private fun performOrder(effect: OrderEffect) {
        when (effect) {
            is OrderEffect.AppendTakeOver -> streams.appendTakeOver(effect.entry)
            is OrderEffect.ReadOwners -> streams.readOwners(effect.from)
            is OrderEffect.PollDeployments -> orderRunner.watch(effect.endpoints)
            is OrderEffect.SendOrder -> orderRunner.send(effect)
            is OrderEffect.LogOrder -> decisionLog.write(effect.line)
        }
    }

    private fun publish(effect: HostEffect.PublishConfiguration) {
        val configuration = effect.configuration
        log.info(
            "configuration revision {} in force, preset {}",
            configuration.revision,
            configuration.presetInForce
        )
        published.configuration.value =
            PublishedConfiguration(configuration, effect.nextOffset)
    }
}
