import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what a case has sent, got and run to record.txt, one line each with the time in ms. */
final class R2Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    R2Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Time since the start of the case, in ms. */
    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%7d ms  %s%n", nowMs(), String.format(format, arguments));
        out.flush();
    }

    /** Writes a line to the record and to the standard output. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
