package cowslipcart.daemon.control

import cowslipcart.core.capacity.CacheGap
import cowslipcart.core.node.NodeEffect
import cowslipcart.core.node.OrderEffect
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

    override fun perform(effect: NodeEffect, decidedAtMs: Long) {
        when (effect) {
            is NodeEffect.SendPeer -> peers.send(effect.to, effect.address, effect.message)

            is NodeEffect.ForgetPeer -> peers.forget(effect.host)

            is NodeEffect.Dispatch -> registry.send(
                effect.requestId,
                SessionCommand.Dispatch(
                    effect.grantId,
                    effect.shard,
                    effect.endpoint,
                    effect.isResume,
                    decidedAtMs
                )
            )

            is NodeEffect.InterruptStream ->
                registry.send(effect.requestId, SessionCommand.Interrupt)

            is NodeEffect.CancelStream -> registry.send(effect.requestId, SessionCommand.Cancel)

            is NodeEffect.Reject ->
                registry.send(effect.requestId, SessionCommand.Reject(effect.rejection))

            is NodeEffect.Replay ->
                registry.send(effect.requestId, SessionCommand.Replay(effect.answer))

            is NodeEffect.AppendClaims ->
                streams.appendClaims(effect.partition, effect.batch, effect.items)

            is NodeEffect.ReadClaims -> streams.readClaims(effect.partition, effect.from)

            is NodeEffect.AppendEpoch -> streams.appendEpoch(effect.entry)

            is NodeEffect.AppendConfig -> streams.appendConfigAsync(effect.entry)

            NodeEffect.ReadConfigNow -> streams.readConfigNow()

            is NodeEffect.ConfigDecided -> verdicts.publish(effect.verdict)

            is NodeEffect.PublishConfiguration -> publish(effect)

            is NodeEffect.PublishReadiness -> {
                log.info("ready: {}, missing: {}", effect.isReady, effect.missing)
                published.readiness.value = Readiness(effect.isReady, effect.missing)
            }

            is NodeEffect.WatchEndpoints -> loadPoller.watch(effect.endpoints)

            is NodeEffect.ReadCacheEvents -> cacheEvents.startRead(effect)

            is NodeEffect.ReportCacheGap -> reportCacheGap(effect)

            is NodeEffect.OutcomeFound -> outcomes.complete(effect.queryId, effect.outcome)

            is NodeEffect.LogDecision -> decisionLog.write(effect.decision)

            is NodeEffect.PublishHosts -> published.hosts.value = effect.hosts

            is OrderEffect -> performOrder(effect)
        }
    }

    private fun reportCacheGap(effect: NodeEffect.ReportCacheGap) {
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
            is OrderEffect.WatchDeployments -> orderRunner.watch(effect.endpoints)
            is OrderEffect.SendOrder -> orderRunner.send(effect)
            is OrderEffect.LogOrder -> decisionLog.write(effect.line)
        }
    }

    private fun publish(effect: NodeEffect.PublishConfiguration) {
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
