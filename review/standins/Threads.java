/** Starts daemon threads. A stand-in's thread ends with the connection that it serves. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                if (System.getenv("VERBOSE") != null) System.err.println(name + ": " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
