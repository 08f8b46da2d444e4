package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import cowslipcart.systemtest.GatewayCluster
import cowslipcart.systemtest.GatewayHandle
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlinx.coroutines.runBlocking

/**
 * Runs gateways as processes with callers, and disturbs them from outside: links that delay, cut
 * one way, fall silent or reset, a store that fails, runners that lose answers, and processes that
 * are paused, killed, stopped and started again. Faults follow [seed], overlap and come in series.
 */
internal class GatewaySoak(private val seed: Long) : AutoCloseable {
    private class Member(
        val name: String,
        val storeLink: FaultProxy,
        @Volatile var handle: GatewayHandle
    )

    private class Worker(val id: String, val service: String, val server: RunnerServer) {
        val link = FaultProxy(server.address.substringAfterLast(':').toInt())
    }

    private val random = Random(seed)
    private val cluster = GatewayCluster()
    private val members = CopyOnWriteArrayList<Member>()
    private val workers = mutableListOf<Worker>()
    private val failures = CopyOnWriteArrayList<String>()
    val log = SoakLog()

    @Volatile
    private var isEnded = false

    /** Runs faults for [faultMs], then a quiet spell, and returns the breaches that were found. */
    fun run(faultMs: Long): List<String> {
        start()
        val callers = (1..CALLERS).map { number ->
            val caller = SoakCaller(number, ::targets, log, Random(seed * CALLERS + number))
            thread(name = "caller-$number") { caller.run { isEnded } }
        }
        val steps = mutableListOf<Thread>()
        while (log.nowMs() < faultMs) {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_STEP_MS, MAX_STEP_MS))
            steps += injectNext()
        }
        steps.forEach { it.join() }
        log.lastFaultEndMs = log.nowMs()
        TimeUnit.MILLISECONDS.sleep(QUIET_MS)
        isEnded = true
        callers.forEach { it.join() }
        return SoakChecks(log, runs()).findBreaches() + failures
    }

    override fun close() {
        members.forEach { it.storeLink.close() }
        workers.forEach { it.link.close() }
        cluster.close()
    }

    private fun start() {
        cluster.publish(keys = listOf(LASTING_KEY, REMOVED_KEY))
        repeat(WORKERS_PER_SERVICE) { number ->
            addWorker("desk-$number", "desk")
            addWorker("model-$number", "model")
        }
        repeat(GATEWAYS) { number ->
            val link = FaultProxy(cluster.store.port)
            val name = "gateway-$number"
            members += Member(name, link, cluster.startGateway(name, link.port))
        }
        runBlocking { members.forEach { it.handle.awaitReady() } }
    }

    private fun addWorker(id: String, service: String) {
        val worker = Worker(id, service, cluster.startRunner(id, service, EVENT_GAP_MS))
        workers += worker
        write(worker, "ready")
    }

    private fun write(worker: Worker, state: String) =
        cluster.list(worker.id, "127.0.0.1:${worker.link.port}", worker.service, state)

    private fun targets() = members.map { SoakTarget(it.name, it.handle.frontPort) }

    private fun runs(): List<SoakRun> = workers.flatMap { worker ->
        synchronized(worker.server.runs) { worker.server.runs.toList() }.map {
            val agoMs = it.startedAt.elapsedNow().inWholeMilliseconds
            SoakRun(it.id, worker.id, log.nowMs() - agoMs)
        }
    }

    /** Starts one fault, which ends by itself. */
    private fun injectNext(): Thread {
        val member = members.random(random)
        val worker = workers.random(random)
        val lastsMs = random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        val fault = LINK_FAULTS.random(random)
        val step: () -> Unit = when (random.nextInt(STEP_KINDS)) {
            0 -> ({ pause(member, lastsMs) })
            1 -> ({ restart(member, "kill") { it.kill() } })
            2, 3 -> ({ restart(member, null) { it.terminate() } })
            4 -> ({ breakStoreLink(member, fault, lastsMs) })
            5 -> ({ breakRunnerLink(worker, fault, lastsMs) })
            6 -> ({ breakStore(lastsMs) })
            7 -> ({ breakAnswers(worker) })
            8 -> ({ drain(worker) })
            else -> ({ removeKey() })
        }
        return thread {
            try {
                step()
            } catch (e: IOException) {
                failures += "a fault could not be put in: $e"
            }
        }
    }

    private fun pause(member: Member, lastsMs: Long) = synchronized(member) {
        val end = log.disturb(member.name, "pause for $lastsMs ms")
        member.handle.process.pause()
        TimeUnit.MILLISECONDS.sleep(lastsMs)
        member.handle.process.resume()
        end()
    }

    /** Ends the process with [signal] and starts it again; [fault] is null for planned work. */
    private fun restart(
        member: Member,
        fault: String?,
        signal: (cowslipcart.systemtest.ManagedProcess) -> Unit
    ) = synchronized(member) {
        val end = fault?.let { log.disturb(member.name, it) }
        if (end == null) log.note("${member.name}: stop")
        signal(member.handle.process)
        member.handle.process.awaitExit()
        member.handle = cluster.startGateway(member.name, member.storeLink.port)
        runBlocking { member.handle.awaitReady() }
        end?.invoke()
    }

    private fun breakStoreLink(member: Member, fault: LinkFault, lastsMs: Long) {
        val end = log.disturb(member.name, "store link $fault for $lastsMs ms")
        member.storeLink.fault = fault
        if (fault == LinkFault.Refuse) member.storeLink.reset()
        TimeUnit.MILLISECONDS.sleep(lastsMs)
        member.storeLink.fault = LinkFault.None
        end()
    }

    private fun breakRunnerLink(worker: Worker, fault: LinkFault, lastsMs: Long) {
        val end = log.disturb("runners", "link of ${worker.id} $fault for $lastsMs ms")
        worker.link.fault = fault
        if (fault == LinkFault.Refuse) worker.link.reset()
        TimeUnit.MILLISECONDS.sleep(lastsMs)
        worker.link.fault = LinkFault.None
        worker.link.reset()
        end()
    }

    private fun breakStore(lastsMs: Long) = synchronized(cluster) {
        val fault = STORE_FAULTS[(lastsMs % STORE_FAULTS.size).toInt()]
        val end = log.disturb("store", "$fault for $lastsMs ms")
        cluster.store.fault = fault
        TimeUnit.MILLISECONDS.sleep(lastsMs)
        cluster.store.fault = StoreFault.None
        cluster.store.log.compact("keyed.op")
        cluster.store.log.compact("keyed.servers")
        end()
    }

    private fun breakAnswers(worker: Worker) {
        val end = log.disturb("runners", "lost answers of ${worker.id}")
        synchronized(worker.server.faults) { worker.server.faults += RUNNER_FAULTS }
        TimeUnit.MILLISECONDS.sleep(MAX_FAULT_MS)
        synchronized(worker.server.faults) { worker.server.faults.clear() }
        end()
    }

    /** Writes the runner as draining for good, if another of its service stays. */
    private fun drain(worker: Worker): Unit = synchronized(workers) {
        val others = workers.filter { it.service == worker.service && it !== worker }
        if (others.all { it.id in log.drainedAtMs } || worker.id in log.drainedAtMs) return
        write(worker, "draining")
        log.drainedAtMs[worker.id] = log.nowMs()
        log.note("${worker.id}: draining")
    }

    private fun removeKey(): Unit = synchronized(log) {
        if (log.keyRemovedAtMs != null) return
        cluster.publish(keys = listOf(LASTING_KEY))
        log.keyRemovedAtMs = log.nowMs()
        log.note("key removed")
    }

    companion object {
        const val LASTING_KEY = "sample-key"
        const val REMOVED_KEY = "removed-key"
        private const val GATEWAYS = 3
        private const val CALLERS = 6
        private const val WORKERS_PER_SERVICE = 3
        private const val EVENT_GAP_MS = 15L
        private const val MIN_STEP_MS = 150L
        private const val MAX_STEP_MS = 900L
        private const val MIN_FAULT_MS = 200L
        private const val MAX_FAULT_MS = 2_500L
        private const val QUIET_MS = SoakChecks.RECOVERY_MS + 2_000L
        private const val STEP_KINDS = 10
        private val LINK_FAULTS = listOf(
            LinkFault.Delay(120),
            LinkFault.CutOneWay,
            LinkFault.Silent,
            LinkFault.Refuse
        )
        private val STORE_FAULTS =
            listOf(StoreFault.Busy, StoreFault.Silent, StoreFault.Slow(400))
        private val RUNNER_FAULTS = listOf(
            RunnerFault.AnswerLost,
            RunnerFault.ExtraAnswer,
            RunnerFault.Fails,
            RunnerFault.BreakAt(5),
            RunnerFault.Full,
            RunnerFault.Hang
        )
    }
}
