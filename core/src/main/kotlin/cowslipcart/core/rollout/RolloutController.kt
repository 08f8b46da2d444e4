package cowslipcart.core.rollout

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.TrackedEndpoint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId

/**
 * Moves pools to other versions by the operator's orders: takes what this host learns of orders,
 * records and the other hosts, and decides on steps. Confined to the control thread.
 *
 * @property inPool the endpoints of a pool, with the load of all hosts
 */
internal class RolloutController(
    private val host: HostId,
    private val incarnation: IncarnationId,
    private val bounds: RolloutBounds,
    private val inPool: (PoolId) -> List<TrackedEndpoint>
) {
    val gate = RolloutGate()
    val answers = RolloutAnswers(gate)

    private val turns = mutableMapOf<PoolId, WriteTurn>()
    private val records = mutableMapOf<PoolId, StoredRollout>()
    private val effects = mutableListOf<RolloutEffect>()
    private var tableEnd: LogOffset? = null
    private var tableAsOfMs = Long.MIN_VALUE / 2
    private var nextNoticeAtMs = Long.MIN_VALUE
    private var nextReadAtMs = Long.MIN_VALUE
    private var isFollowing = false

    /** Wall-clock time less the monotonic one, at the last input that had both. */
    private var wallOffsetMs = 0L

    private val unfinished: List<PoolRollout> get() = gate.all.filter { !it.isFinal }

    /** Takes the list of all endpoints. */
    fun onListed(entries: List<EndpointEntry>): List<RolloutEffect> {
        for ((pool, versions) in gate.onListed(entries)) {
            log(pool, "versions-served", "${versions.joinToString()} without an order")
        }
        return takeEffects()
    }

    /** Takes [change]; [wallNowMs] is the wall-clock time, for records that outlive all hosts. */
    fun handle(change: RolloutChange, nowMs: Long, wallNowMs: Long): List<RolloutEffect> {
        wallOffsetMs = wallNowMs - nowMs
        when (change) {
            is RolloutChange.Ordered -> onOrdered(change.order, nowMs)

            is RolloutChange.TableRead -> onTableRead(change, nowMs)

            is RolloutChange.Noticed -> onNotice(change.notice, nowMs)

            is RolloutChange.WriteFailed -> {
                turns[change.record.pool]?.onFailed()
                val step = change.record.step
                log(change.record.pool, "rollout-write-failed", "$step: ${change.reason}")
            }
        }
        return takeEffects()
    }

    /** Acts on elapsed time. */
    fun tick(nowMs: Long): List<RolloutEffect> {
        for (rollout in unfinished) {
            checkVerdict(rollout, nowMs)
            proposeStep(rollout, nowMs)
        }
        if (nowMs >= nextNoticeAtMs) sendNotices(nowMs)
        follow()
        return takeEffects()
    }

    private fun onOrdered(order: RolloutOrder, nowMs: Long) {
        val known = gate[order.pool]
        if (known != null && known.order.offset >= order.offset) return
        val last = records[order.pool]
        // The versions in service follow from the last record; without one from the list.
        if (last != null && last.record.order < order.offset) {
            gate.setServed(order.pool, servedAfter(last.record))
        }
        val rollout = PoolRollout(order, bounds, nowMs)
        gate.put(rollout)
        turns[order.pool] = WriteTurn()
        log(order.pool, "rollout-ordered", "to ${order.to} in ${order.durationMs} ms, $order")
        last?.takeIf { it.record.order == order.offset }?.let { onStored(rollout, it, nowMs) }
        rollout.onKnown(tableAsOfMs)
        follow()
    }

    /** Versions in service after the end of the order of [record], or when it is replaced. */
    private fun servedAfter(record: RolloutRecord) =
        if (record.step == RolloutStep.Complete) setOf(record.to) else record.from

    private fun onTableRead(read: RolloutChange.TableRead, nowMs: Long) {
        for (stored in read.changed) onRecord(stored, nowMs)
        tableEnd = maxOf(tableEnd ?: read.end, read.end)
        tableAsOfMs = maxOf(tableAsOfMs, read.asOfMs)
        for (rollout in unfinished) rollout.onKnown(read.asOfMs)
    }

    private fun onRecord(stored: StoredRollout, nowMs: Long) {
        val record = stored.record
        if (records[record.pool]?.let { stored.offset <= it.offset } == true) return
        records[record.pool] = stored
        val rollout = gate[record.pool]
        if (rollout == null || rollout.order.offset != record.order) return
        onStored(rollout, stored, nowMs)
    }

    private fun onStored(rollout: PoolRollout, stored: StoredRollout, nowMs: Long) {
        val before = rollout.step
        val isFirst = rollout.stored == null
        if (rollout.isFinal || !rollout.onStored(stored, nowMs)) return
        val record = stored.record
        if (isFirst) rollout.onWallStart(record.startedAtWallMs, nowMs + wallOffsetMs, nowMs)
        turns[record.pool] = WriteTurn()
        if (record.step == before) return
        log(
            record.pool,
            "rollout-step",
            "${record.step} by ${record.writer}, record ${stored.offset}, " +
                "age ${nowMs - rollout.startedAtMs} ms, exposed ${rollout.exposure.exposedCount} " +
                "of ${rollout.exposure.reachedCount} here, ${rollout.verdict.judge(nowMs)}"
        )
        if (record.step.isFinal) gate.setServed(record.pool, servedAfter(record))
        // The others learn of the step at once.
        nextNoticeAtMs = Long.MIN_VALUE
        if (record.step.isFinal) effects += RolloutEffect.Send(noticeOf(rollout, nowMs))
    }

    private fun onNotice(notice: RolloutNotice, nowMs: Long) {
        if (notice.host == host) return
        onOrdered(notice.order, nowMs)
        val rollout = gate[notice.order.pool] ?: return
        if (rollout.order.offset != notice.order.offset || rollout.isFinal) return
        rollout.onAge(notice.orderAgeMs, nowMs)
        rollout.peers[notice.host] = RolloutPeer(
            notice.incarnation,
            nowMs,
            notice.stored?.offset,
            notice.earlierRunning
        )
        notice.stored?.let { stored ->
            records[notice.order.pool]?.takeIf { it.offset >= stored.offset }
                ?: records.put(notice.order.pool, stored)
            onStored(rollout, stored, nowMs)
            val isSame = rollout.stored?.offset == stored.offset
            if (isSame) rollout.onKnown(nowMs - notice.knownAgeMs)
        }
        val added = rollout.evidence.onPeer(notice.host, notice.incarnation, notice.totals)
        for ((key, counts) in added) rollout.verdict.onAnswers(key, counts, nowMs)
        notice.stopReason?.let { stop(rollout, "told by ${notice.host}: $it", nowMs) }
        checkVerdict(rollout, nowMs)
    }

    /** Stops sending to a version that is bad by the answers of all hosts. */
    private fun checkVerdict(rollout: PoolRollout, nowMs: Long) {
        val verdict = rollout.verdict.judge(nowMs)
        if (verdict is Verdict.Bad) {
            stop(rollout, "${verdict.route} ${verdict.property}: ${verdict.evidence}", nowMs)
        }
    }

    private fun stop(rollout: PoolRollout, reason: String, nowMs: Long) {
        if (!rollout.stop(reason)) return
        log(
            rollout.order.pool,
            "rollout-stopped",
            "$reason; ${rollout.verdict.badCount} bad answers, step ${rollout.step}"
        )
        effects += RolloutEffect.Send(noticeOf(rollout, nowMs))
    }

    private fun proposeStep(rollout: PoolRollout, nowMs: Long) {
        val end = tableEnd ?: return requestRead(nowMs)
        val pool = rollout.order.pool
        val earlier = gate.earlierVersions(pool, rollout.order)
        val next = nextStep(rollout, nowMs)
        val turn = turns.getOrPut(pool) { WriteTurn() }
        // Without a recent read the record may have changed; the store would refuse the write.
        val isCurrent = nowMs - tableAsOfMs < PoolRollout.PERMIT_MS
        val rank = rankOf(rollout, nowMs)
        if (!turn.isMine(next, rank, nowMs) || next == null) return
        if (!isCurrent) {
            requestRead(nowMs)
            return
        }
        val record = RolloutRecord(
            rollout.order.offset,
            pool,
            rollout.order.to,
            earlier,
            next,
            rollout.stored?.record?.startedAtWallMs ?: (rollout.startedAtMs + wallOffsetMs),
            host
        )
        turn.onWritten(nowMs)
        log(pool, "rollout-write", "$next at $end, rank $rank, ${rollout.verdict.judge(nowMs)}")
        effects += RolloutEffect.Write(record, end)
    }

    private fun requestRead(nowMs: Long) {
        if (nowMs < nextReadAtMs) return
        nextReadAtMs = nowMs + READ_INTERVAL_MS
        effects += RolloutEffect.Read
    }

    private fun nextStep(rollout: PoolRollout, nowMs: Long): RolloutStep? {
        val step = rollout.step ?: return RolloutStep.Observing
        val endpoints = inPool(rollout.order.pool)
        val new = endpoints.filter { it.entry.version == rollout.order.to && it.isInService }
        val reason = rollout.stopReason
        val verdict = rollout.verdict.judge(nowMs)
        if (reason != null && verdict !is Verdict.Bad) return RolloutStep.RolledBack
        return RolloutProgress.next(
            step,
            RolloutSituation(
                ageMs = nowMs - rollout.startedAtMs,
                stepAgeMs = nowMs - rollout.stepSinceMs,
                durationMs = rollout.order.durationMs,
                verdict = verdict,
                newSlotCount = new.sumOf { it.entry.slotCount },
                runningCount = endpoints.sumOf { it.total.running },
                isEarlierIdle = rollout.isEarlierIdle(earlierRunning(rollout)),
                isAlreadyServing = rollout.isAlreadyServing
            )
        )
    }

    /** Rank of this host among those heard lately: the host of rank 0 writes first. */
    private fun rankOf(rollout: PoolRollout, nowMs: Long): Int {
        val own = scoreOf(host, rollout)
        return rollout.livePeers(nowMs).keys.count { scoreOf(it, rollout) > own }
    }

    private fun scoreOf(host: HostId, rollout: PoolRollout): Int =
        spread("$host/${rollout.order.offset}")

    private fun earlierRunning(rollout: PoolRollout): Int = inPool(rollout.order.pool)
        .filter { it.entry.version != rollout.order.to }
        .sumOf { it.own.running }

    private fun sendNotices(nowMs: Long) {
        val active = unfinished
        for (rollout in active) effects += RolloutEffect.Send(noticeOf(rollout, nowMs))
        val peerCount = active.maxOfOrNull { it.livePeers(nowMs).size } ?: 0
        nextNoticeAtMs = nowMs + NOTICE_INTERVAL_MS + peerCount * NOTICE_INTERVAL_PER_HOST_MS
    }

    private fun noticeOf(rollout: PoolRollout, nowMs: Long) = RolloutNotice(
        host,
        incarnation,
        rollout.order,
        nowMs - rollout.startedAtMs,
        rollout.stored,
        nowMs - rollout.knownAsOfMs,
        earlierRunning(rollout),
        rollout.stopReason,
        rollout.evidence.ownTotals
    )

    private fun follow() {
        val isActive = unfinished.isNotEmpty()
        if (isActive == isFollowing) return
        isFollowing = isActive
        effects += RolloutEffect.Follow(isActive)
    }

    private fun log(pool: PoolId, change: String, reason: String) {
        effects += RolloutEffect.Log(pool.value, change, reason)
    }

    private fun takeEffects(): List<RolloutEffect> = effects.toList().also { effects.clear() }

    private companion object {
        const val NOTICE_INTERVAL_MS = 500L

        /** Longer than a read takes, also when the store is slow. */
        const val READ_INTERVAL_MS = 800L

        /** Keeps the notices that a host gets below a hundred a second. */
        const val NOTICE_INTERVAL_PER_HOST_MS = 10L
    }
}
