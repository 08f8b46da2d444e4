package cowslipcart.standins.http

import java.util.concurrent.Executors
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext

/** Gives access to [state] on one dedicated thread only; the request handlers run on others. */
internal class Confined<T>(private val state: T) : AutoCloseable {
    val dispatcher: ExecutorCoroutineDispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "state").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    suspend fun <R> use(block: (T) -> R): R = withContext(dispatcher) { block(state) }

    override fun close() = dispatcher.close()
}
