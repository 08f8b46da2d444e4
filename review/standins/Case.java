import java.nio.file.Path;

/** Runs one case and ends the process with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
final class Case {
    interface Body {
        /** Returns whether the rule was broken. */
        boolean run(Record record, boolean hasTrouble) throws Exception;
    }

    private static final long LIMIT_MS = 110_000;

    private Case() {}

    static void main(String[] arguments, Body body) {
        Threads.start("limit", () -> {
            Thread.sleep(LIMIT_MS);
            System.err.println("the case takes too long");
            System.exit(2);
        });
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try {
            Record record = new Record(Path.of(arguments[0]));
            record.line(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            boolean isBroken = body.run(record, hasTrouble);
            record.line(isBroken ? "RULE BROKEN" : "rule held");
            System.exit(isBroken ? 1 : 0);
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
