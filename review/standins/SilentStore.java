import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent for good while new ones work; then a replica reports that it is draining. */
final class SilentStore {
    private static final double CONTACT_WINDOW_S = 3.0;
    private static final double DRAIN_TIMEOUT_S = 2.0;
    /** The replica serves on for this time after its report, "a little longer" than the drain timeout, and then exits. */
    private static final double LINGER_S = 2.8;
    private static final int REPLICAS = 8;
    private static final int WORK_MS = 43;
    private static final ConcurrentHashMap<String, Double> sentAt = new ConcurrentHashMap<>();
    private static volatile double silentAt = Double.MAX_VALUE;
    private static volatile double drainAckedAt = Double.MAX_VALUE;
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static volatile double lastLate;
    private static final ConcurrentHashMap<String, Boolean> atLeaving = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        try {
            Kit.openRecord(args[0]);
            run();
        } catch (Throwable e) {
            Kit.cannotRun(e);
        }
    }

    private static void run() throws Exception {
        try (Kit.Store store = new Kit.Store()) {
            List<Kit.Replica> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                int number = i;
                replicas.add(new Kit.Replica("i-desk" + i, "order-desk", 6, store, (request, conn) -> {
                    String id = request.header("X-Request-Id");
                    double now = Kit.now();
                    if (number == 0 && now > drainAckedAt) {
                        double sinceAck = now - drainAckedAt;
                        boolean isInTouch = sentAt.get(id) >= silentAt + CONTACT_WINDOW_S || !Kit.TROUBLE;
                        boolean isLate = sinceAck > DRAIN_TIMEOUT_S && isInTouch;
                        if (isLate) {
                            late.incrementAndGet();
                            lastLate = sinceAck;
                        }
                        Kit.note(String.format("i-desk0, draining, gets %s, %.3f s after the acknowledgement%s", id, sinceAck,
                            isLate ? "  <-- later than drain-timeout-ms, sent on in touch" : ""));
                    }
                    if (number == 0) atLeaving.put(id, true);
                    Thread.sleep(WORK_MS);
                    conn.answer("200 OK", "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\n", Kit.bytes("done"));
                    return true;
                }));
            }
            Kit.configure(store, 1, Kit.route("order", "/order/", "unsafe", 2000, "order-desk", 1, false));
            try (Kit.Product product = new Kit.Product("frontend-tn-north-a-1", store)) {
                product.awaitReady();
                double endAt = Kit.now() + 16;
                List<Thread> clients = new ArrayList<>();
                for (int c = 0; c < 8; c++) {
                    int client = c;
                    clients.add(Kit.daemon("client" + c, () -> {
                        for (int n = 0; Kit.now() < endAt; n++) order(product, "o" + client + "-" + n);
                    }));
                    Thread.sleep(15);
                }
                Thread.sleep(4000);
                silentAt = Kit.now();
                if (Kit.TROUBLE) Kit.note(store.silenceOpen() + " open connections to the store go silent; new ones work");
                // Then all machines are in touch again, and the store has been without any disruption for the contact window.
                Thread.sleep((long) (CONTACT_WINDOW_S * 1000) + 100);
                replicas.get(0).drain();
                drainAckedAt = Kit.now();
                Kit.note("i-desk0 reports draining; the store has accepted it");
                Kit.sleepMs((long) (LINGER_S * 1000));
                Kit.note("i-desk0 exits");
                replicas.get(0).leave();
                for (Thread t : clients) t.join();
                if (Kit.TROUBLE) Kit.note(String.format("the next read of the list of replicas came %.3f s after the silence began",
                    store.firstServersRead - silentAt));
                Kit.verdict(late.get() > 0, late + " requests reached the draining replica later than drain-timeout-ms after the acknowledgement, the last "
                    + String.format("%.2f", lastLate) + " s after it; " + lost + " requests that the replica had begun got no success");
            } finally {
                for (Kit.Replica r : replicas) r.close();
            }
        }
    }

    private static void order(Kit.Product product, String id) {
        try {
            sentAt.put(id, Kit.now());
            Kit.Conn conn = product.connect();
            try {
                conn.write(Kit.bytes(Kit.requestHead("POST", "/order/x", id, 2000, "Content-Length: 3\r\n") + "one"));
                Kit.Message answer = Kit.head(conn.in);
                if (answer == null) throw new IOException("the connection was closed");
                Kit.body(conn.in, answer, true);
                if (answer.first.contains(" 200")) return;
                boolean hasBegun = atLeaving.containsKey(id);
                if (hasBegun) lost.incrementAndGet();
                Kit.note("answer to " + id + ": " + answer.first + (hasBegun ? "; the draining replica had begun it" : ""));
            } finally {
                conn.socket.close();
            }
            Thread.sleep(20);
        } catch (IOException | InterruptedException e) {
            Kit.note("answer to " + id + ": " + e);
        }
    }
}
