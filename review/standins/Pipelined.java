import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients pipeline lookups on their connections while one replica of seven is slow for 6.5 s. Some of the lookups have a body, part of
 * which has the form of a request.
 */
final class Pipelined {
    private static final int REPLICAS = 7;
    private static final int WORK_MS = 43;
    private static final int SLOW_X = 5;
    private static final double TROUBLE_S = 6.5;
    private static final int CLIENTS = 10;
    private static final int WITH_BODY = 4;
    private static volatile double troubleFrom = Double.MAX_VALUE;
    private static final AtomicInteger asked = new AtomicInteger();
    private static final AtomicInteger foreign = new AtomicInteger();
    private static final AtomicInteger ended = new AtomicInteger();
    private static final AtomicInteger slowRuns = new AtomicInteger();
    private static final AtomicInteger smuggled = new AtomicInteger();
    private static final Set<String> sentIds = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) throws Exception {
        try {
            Kit.openRecord(args[0]);
            run();
        } catch (Throwable e) {
            Kit.cannotRun(e);
        }
    }

    private static boolean isSlowNow(int replica) {
        return Kit.TROUBLE && replica == 0 && Kit.now() >= troubleFrom && Kit.now() < troubleFrom + TROUBLE_S;
    }

    private static void run() throws Exception {
        try (Kit.Store store = new Kit.Store()) {
            List<Kit.Replica> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                int number = i;
                replicas.add(new Kit.Replica("i-desk" + i, "order-desk", 6, store, (request, conn) -> {
                    String requestId = request.header("X-Request-Id");
                    boolean isSlow = isSlowNow(number);
                    boolean isUnasked = !sentIds.contains(requestId);
                    if (isUnasked) smuggled.incrementAndGet();
                    if (isSlow) slowRuns.incrementAndGet();
                    Thread.sleep(isSlow ? WORK_MS * SLOW_X : WORK_MS);
                    Kit.note("i-desk" + number + (isSlow ? " (slow)" : "") + " ran " + requestId + ": " + request.first
                        + (isUnasked ? "  <-- no client sent this id" : ""));
                    conn.answer("200 OK", "X-Request-Id: " + requestId + "\r\nX-Response-Signature: s." + requestId
                        + "\r\nContent-Type: text/plain\r\n", Kit.bytes("state of " + request.target()));
                    return true;
                }));
            }
            Kit.configure(store, 1, Kit.route("lookup", "/lookup/", "safe", 10000, "order-desk", 2, false));
            try (Kit.Product product = new Kit.Product("frontend-tn-north-a-1", store)) {
                product.awaitReady();
                Thread.sleep(1500);
                play(product, "w", 2.0);
                asked.set(0);
                foreign.set(0);
                ended.set(0);
                troubleFrom = Kit.now();
                if (Kit.TROUBLE) Kit.note("i-desk0 is slow for " + TROUBLE_S + " s: " + WORK_MS * SLOW_X + " ms instead of " + WORK_MS);
                play(product, "r", TROUBLE_S);
                Kit.verdict(foreign.get() + smuggled.get() > 0, foreign + " answers of " + asked + " belong to another request; " + smuggled
                    + " runs of an id that no client sent; " + ended + " connections ended early; " + slowRuns + " slow runs");
            } finally {
                for (Kit.Replica r : replicas) r.close();
            }
        }
    }

    private static void play(Kit.Product product, String name, double seconds) throws Exception {
        double until = Kit.now() + seconds;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.add(Kit.daemon("client" + c, () -> {
                for (int i = 0; Kit.now() < until; i++) {
                    String round = name + client + "-" + i;
                    int pauseMs = 120 + (i + client) % 4 * 15;
                    if (client < CLIENTS - WITH_BODY) round(product, round, pauseMs);
                    else roundWithBody(product, round, pauseMs);
                }
            }));
        }
        for (Thread t : clients) t.join();
    }

    // Three lookups on one connection: two in one packet, the third pauseMs later. HTTP/1.1 has the answers in the order of the requests.
    private static void round(Kit.Product product, String name, int pauseMs) {
        try {
            Kit.Conn conn = product.connect();
            try {
                String[] ids = new String[3];
                String[] requests = new String[3];
                for (int i = 0; i < 3; i++) {
                    ids[i] = name + "-" + (char) ('a' + i);
                    sentIds.add(ids[i]);
                    requests[i] = Kit.requestHead("GET", "/lookup/item-" + ids[i], ids[i], 9000, "");
                }
                conn.write(Kit.bytes(requests[0] + requests[1]));
                Kit.note("sent " + ids[0] + " and " + ids[1]);
                Thread.sleep(pauseMs);
                conn.write(Kit.bytes(requests[2]));
                Kit.note("sent " + ids[2]);
                for (int i = 0; i < 3; i++) {
                    Kit.Message answer = Kit.head(conn.in);
                    if (answer == null) throw new IOException("the connection was closed before the answer to " + ids[i]);
                    answer.body = Kit.body(conn.in, answer, true);
                    asked.incrementAndGet();
                    String id = answer.header("X-Request-Id");
                    boolean isOwn = ids[i].equals(id);
                    if (!isOwn) foreign.incrementAndGet();
                    Kit.note("answer to " + ids[i] + ": " + answer.first + ", for " + id + ", \"" + new String(answer.body) + "\""
                        + (isOwn ? "" : "  <-- of another request"));
                }
            } finally {
                conn.socket.close();
            }
        } catch (IOException | InterruptedException e) {
            ended.incrementAndGet();
            Kit.note(name + ": " + e);
        }
    }

    // A lookup, and in the same packet the head and the first part of a lookup with a body; the rest of that body pauseMs later.
    private static void roundWithBody(Kit.Product product, String name, int pauseMs) {
        String first = name + "-a";
        String second = name + "-b";
        sentIds.add(first);
        sentIds.add(second);
        String start = "notes of the caller: ";
        String rest = Kit.requestHead("GET", "/lookup/from-a-body", "in-the-body-of-" + second, 5000, "");
        try {
            Kit.Conn conn = product.connect();
            try {
                conn.socket.setSoTimeout(1500);
                conn.write(Kit.bytes(Kit.requestHead("GET", "/lookup/item", first, 1400, "")
                    + Kit.requestHead("PUT", "/lookup/notes", second, 1400, "Content-Length: " + (start + rest).length() + "\r\n") + start));
                Kit.note("sent " + first + " and the first part of " + second);
                Thread.sleep(pauseMs);
                conn.write(Kit.bytes(rest));
                Kit.note("sent the rest of " + second);
                for (String id : new String[] {first, second}) {
                    Kit.Message answer = Kit.head(conn.in);
                    if (answer == null) throw new IOException("the connection was closed before the answer to " + id);
                    answer.body = Kit.body(conn.in, answer, true);
                    asked.incrementAndGet();
                    String of = answer.header("X-Request-Id");
                    if (!id.equals(of)) foreign.incrementAndGet();
                    Kit.note("answer to " + id + ": " + answer.first + ", for " + of + (id.equals(of) ? "" : "  <-- of another request"));
                }
            } finally {
                conn.socket.close();
            }
        } catch (IOException | InterruptedException e) {
            ended.incrementAndGet();
            Kit.note(name + ": " + e);
        }
    }
}
