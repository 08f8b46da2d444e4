package cowslipcart.experiment.scenario

import cowslipcart.core.model.HostId
import cowslipcart.core.model.Revision

/**
 * Checks that published revisions do not go back: a host must not serve an older revision than it,
 * or an earlier process of the same host, has served, and must not become ready with an older one
 * than any host had served when its process started.
 */
internal class RevisionChecker {
    private val highest = HashMap<HostId, Revision>()
    private val published = HashMap<HostProcess, Revision>()
    private val servedBeforeStart = HashMap<HostProcess, Revision>()

    val violations = mutableListOf<String>()

    fun onStarted(process: HostProcess) {
        servedBeforeStart[process] = highest.values.maxOrNull() ?: Revision(0)
    }

    fun onPublished(process: HostProcess) {
        val revision = process.configuration.revision
        val before = published.put(process, revision)
        if (before != null && revision < before) addViolation(process.host, before, revision)
        if (!process.isReady) return
        servedBeforeStart.remove(process)?.let {
            if (revision < it) addViolation(process.host, it, revision)
        }
        val served = highest[process.host]
        if (served != null && revision < served) addViolation(process.host, served, revision)
        highest[process.host] = maxOf(served ?: revision, revision)
    }

    private fun addViolation(host: HostId, before: Revision, after: Revision) {
        violations += "$host: expected a revision of at least $before, found $after"
    }
}
