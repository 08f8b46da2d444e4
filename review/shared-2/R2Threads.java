import java.io.IOException;

/** Starts daemon threads whose I/O errors end them. */
final class R2Threads {
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private R2Threads() {
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // The peer is gone, or the case is over.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
