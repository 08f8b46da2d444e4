package cowslipcart.standins.http

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext

/** File copy of a journal, one JSON object per line, so that it survives a crash. */
internal class JournalFile(private val path: Path) {
    private val mutex = Mutex()

    suspend fun append(line: String) = mutex.withLock {
        withContext(Dispatchers.IO) {
            Files.writeString(
                path,
                line + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND
            )
        }
    }
}
