package cowslipcart.experiment.scenario

import cowslipcart.core.model.HostId
import cowslipcart.core.model.Revision

/**
 * Notes hosts that serve an older revision than they, or an earlier process of theirs, served, and
 * hosts that become ready with an older one than any host had served when they started.
 */
internal class RevisionWitness {
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
        if (before != null && revision < before) note(process.host, before, revision)
        if (!process.isReady) return
        servedBeforeStart.remove(process)?.let {
            if (revision < it) note(process.host, it, revision)
        }
        val served = highest[process.host]
        if (served != null && revision < served) note(process.host, served, revision)
        highest[process.host] = maxOf(served ?: revision, revision)
    }

    private fun note(host: HostId, before: Revision, after: Revision) {
        violations += "$host: expected a revision of at least $before, found $after"
    }
}
