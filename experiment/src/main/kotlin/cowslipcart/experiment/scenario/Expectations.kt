package cowslipcart.experiment.scenario

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.origin.RequestOutcome

/** Checks `expect` steps. */
internal class Expectations(
    private val world: World,
    private val keys: IdempotencyKeys,
    private val calls: Map<String, CallerRecord>,
    private val questions: Map<String, () -> RequestOutcome?>
) {
    /** Returns the first difference, or null if all holds. */
    fun check(expect: Step.Expect): String? {
        val subjects = listOfNotNull(
            expect.request,
            expect.key,
            expect.host,
            expect.endpoint,
            expect.change,
            expect.question,
            expect.crashedEndpoints
        )
        require(subjects.size == 1) {
            "expected one of request, key, host, endpoint, change, question and " +
                "crashedEndpoints, found ${subjects.size}"
        }
        return when {
            expect.request != null -> checkRequest(expect, expect.request)
            expect.key != null -> checkKey(expect, expect.key)
            expect.host != null -> checkHosts(expect, expect.host)
            expect.endpoint != null -> checkEndpoint(expect, expect.endpoint)
            expect.change != null -> compare(expect.status, world.operators.statusOf(expect.change))
            expect.question != null -> checkQuestion(expect, expect.question)
            else -> compare(expect.crashedEndpoints, world.allEndpoints.count { !it.isUp })
        }
    }

    private fun checkRequest(expect: Step.Expect, name: String): String? {
        val record = requireNotNull(calls[name]) { "expected a request that was sent, found $name" }
        val id = record.endpointCall.requestId
        val found = record.reply?.kind?.label ?: "pending"
        require(expect.status == null || expect.status in STATUSES) {
            "expected one of $STATUSES, found ${expect.status}"
        }
        return compare(expect.status, found)
            ?: compare(expect.ran, world.journal.runs.count { it.call.requestId == id })
    }

    private fun checkKey(expect: Step.Expect, key: String): String? {
        val uuid = keys.uuidOf(key)
        val ran = world.journal.runs.count { it.call.key?.endsWith("/$uuid") == true }
        return compare(requireNotNull(expect.ran) { "expected ran, found none" }, ran)
    }

    private fun checkHosts(expect: Step.Expect, name: String): String? {
        val processes = if (name == "all") {
            world.running.toList()
        } else {
            listOfNotNull(world.process(HostId(name)))
        }
        require(processes.isNotEmpty()) { "expected $name to run, found it down" }
        return processes.firstNotNullOfOrNull { process ->
            checkHost(expect, process)?.let { "${process.host}: $it" }
        }
    }

    private fun checkHost(expect: Step.Expect, process: HostProcess): String? {
        val configuration = process.configuration
        return compare(expect.ready, process.isReady)
            ?: compare(expect.preset, configuration.presetInForce?.value)
            ?: compare(expect.revision, configuration.revision.value)
            ?: compare(expect.openRequests, process.openRequestCount)
    }

    private fun checkEndpoint(expect: Step.Expect, name: String): String? {
        val endpoint = requireNotNull(world.findEndpoint(EndpointId(name))) {
            "expected a declared endpoint, found $name"
        }
        val newWork = expect.noNewWorkAfterMs?.let { afterMs ->
            val sinceMs = requireNotNull(endpoint.leavingSinceMs) {
                "expected $name to leave, found no notice"
            }
            Oracle.findNewWork(world, endpoint, sinceMs + afterMs).firstOrNull()
        }
        val ran = world.journal.runs.count { it.endpoint == endpoint.spec.id }
        return newWork ?: compare(expect.up, endpoint.isUp) ?: compare(expect.ran, ran)
    }

    private fun checkQuestion(expect: Step.Expect, name: String): String? {
        val question = requireNotNull(questions[name]) {
            "expected a question that was asked, found $name"
        }
        val found = when (question()) {
            null -> "pending"
            RequestOutcome.Running -> "running"
            RequestOutcome.NotRun -> "not-run"
            is RequestOutcome.Answered -> "answered"
            RequestOutcome.Unknown -> "unknown"
        }
        return compare(expect.status, found)
    }

    private fun <T : Any> compare(expected: T?, found: T?): String? =
        if (expected == null || expected == found) null else "expected $expected, found $found"

    private companion object {
        val STATUSES = ReplyKind.entries.map { it.label } + "pending"
    }
}
