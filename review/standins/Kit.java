import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins that the scripts of the review share: the platform's store, replicas, a client, and the start of the product. */
final class Kit {
    private Kit() {}

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    private static final long MAX_MS = 110_000;
    private static PrintWriter record;

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Opens the record of the script, the file `record.txt` in its folder. */
    static void openRecord(String file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
        note("disruption " + (TROUBLE ? "on" : "off"));
        daemon("watchdog", () -> {
            try {
                Thread.sleep(MAX_MS);
            } catch (InterruptedException e) {
                return;
            }
            note("could not run: not finished after " + MAX_MS + " ms");
            System.exit(2);
        });
    }

    static synchronized void note(String text) {
        record.printf("%8.3f %s%n", now(), text);
    }

    static void sleepMs(long ms) throws InterruptedException {
        if (ms > 0) Thread.sleep(ms);
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------- HTTP

    /** Head and body of an HTTP message. */
    static final class Message {
        String first = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String target() {
            String[] words = first.split(" ");
            return words.length > 1 ? words[1] : "";
        }

        String query(String name) {
            Matcher m = Pattern.compile("[?&]" + Pattern.quote(name) + "=([^&]*)").matcher(target());
            return m.find() ? java.net.URLDecoder.decode(m.group(1), StandardCharsets.UTF_8) : null;
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("the connection ended in a line");
            }
            if (b == '\n') break;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null if the connection ended before it. */
    static Message head(InputStream in) throws IOException {
        Message m = new Message();
        String first = line(in);
        if (first == null) return null;
        m.first = first;
        while (true) {
            String l = line(in);
            if (l == null) throw new EOFException("the connection ended in a head");
            if (l.isEmpty()) return m;
            int colon = l.indexOf(':');
            if (colon > 0) m.headers.add(new String[] {l.substring(0, colon).trim(), l.substring(colon + 1).trim()});
        }
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
        return bytes;
    }

    /** Reads a body with a length or in chunks; for an answer without either, up to the end of the connection. */
    static byte[] body(InputStream in, Message m, boolean isAnswer) throws IOException {
        String encoding = m.header("Transfer-Encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the connection ended before the last chunk");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                out.write(exactly(in, length));
                String end = line(in);
                if (end == null) throw new EOFException("the connection ended in a chunk");
                if (length == 0) return out.toByteArray();
            }
        }
        String length = m.header("Content-Length");
        if (length != null) return exactly(in, Integer.parseInt(length));
        return isAnswer ? in.readAllBytes() : new byte[0];
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Handles the requests of one connection, one at a time. Returns false if the connection is to end. */
    interface Handler {
        boolean handle(Message request, Conn conn) throws Exception;
    }

    static final class Conn {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        volatile boolean isSilent;

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        synchronized void write(byte[] data) throws IOException {
            if (isSilent) return;
            out.write(data);
            out.flush();
        }

        void answer(String status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"));
            all.write(body);
            write(all.toByteArray());
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static final class Server implements AutoCloseable {
        final ServerSocket listener;
        final Map<Conn, Boolean> open = new ConcurrentHashMap<>();

        Server(Handler handler) throws IOException {
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            daemon("accept", () -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        daemon("conn", () -> serve(socket, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket, Handler handler) {
            Conn conn = null;
            try {
                conn = new Conn(socket);
                open.put(conn, true);
                while (true) {
                    Message request = head(conn.in);
                    if (request == null) break;
                    request.body = body(conn.in, request, false);
                    if (conn.isSilent) {
                        Thread.sleep(Long.MAX_VALUE);
                    }
                    if (!handler.handle(request, conn)) break;
                    if (conn.isSilent) Thread.sleep(Long.MAX_VALUE);
                }
            } catch (Exception e) {
                // The other side has closed the connection.
            } finally {
                if (conn != null) open.remove(conn);
                try {
                    socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Conn c : open.keySet()) c.socket.close();
        }
    }

    // ---------------------------------------------------------------- the platform's store

    /** The platform's store as far as the product uses it: keyed topics with one partition, and groups. */
    static final class Store implements AutoCloseable {
        private static final class Rec {
            final String key;
            final byte[] value;

            Rec(String key, byte[] value) {
                this.key = key;
                this.value = value;
            }
        }

        private final Map<String, List<Rec>> topics = new LinkedHashMap<>();
        private final Map<String, Long> members = new LinkedHashMap<>();
        private long generation;
        final Server server;
        final AtomicLong calls = new AtomicLong();
        /** When a read of `keyed.servers` first came on a connection that answers, after {@link #silenceOpen}. */
        volatile double firstServersRead;
        private volatile boolean hasSilenced;

        Store() throws IOException {
            server = new Server(this::handle);
        }

        String address() {
            return server.address();
        }

        /** Appends a record; an empty value drops the key. Returning is the acknowledgement. */
        synchronized void put(String topic, String key, String value) {
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Rec(key, value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        /** All connections that are open now go silent for good, without a reset; new ones work. Returns how many they are. */
        int silenceOpen() {
            int count = 0;
            hasSilenced = true;
            for (Conn c : server.open.keySet()) {
                c.isSilent = true;
                count++;
            }
            return count;
        }

        private boolean handle(Message m, Conn c) throws Exception {
            calls.incrementAndGet();
            String path = m.target().split("\\?")[0];
            switch (path) {
                case "/v1/log-newest": return json(c, "200 OK", newest(m));
                case "/v1/log-read": return read(m, c);
                case "/v1/log-append": return append(m, c);
                case "/v1/log-join": return json(c, "200 OK", join(new String(m.body, StandardCharsets.UTF_8)));
                case "/v1/log-owners": return json(c, "200 OK", owners());
                default: return json(c, "404 Not Found", "{}");
            }
        }

        private boolean json(Conn c, String status, String body) throws IOException {
            c.answer(status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
            return true;
        }

        private List<Rec> records(Message m) {
            return topics.computeIfAbsent(m.query("topic"), t -> new ArrayList<>());
        }

        private synchronized String newest(Message m) {
            List<Rec> all = records(m);
            Map<String, Integer> last = new TreeMap<>();
            for (int i = 0; i < all.size(); i++) last.put(all.get(i).key, i);
            String after = m.query("after") == null ? "" : m.query("after");
            StringBuilder items = new StringBuilder();
            last.forEach((key, offset) -> {
                byte[] value = all.get(offset).value;
                if (value.length == 0 || key.compareTo(after) <= 0) return;
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(key).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
                    .append("\",\"offset\":").append(offset).append('}');
            });
            return "{\"items\":[" + items + "],\"has-more\":false,\"end-offset\":" + all.size() + "}";
        }

        private boolean read(Message m, Conn c) throws Exception {
            if (hasSilenced && firstServersRead == 0 && "keyed.servers".equals(m.query("topic"))) firstServersRead = now();
            int from = Integer.parseInt(m.query("from"));
            long waitMs = m.query("wait-ms") == null ? 0 : Long.parseLong(m.query("wait-ms"));
            long until = System.nanoTime() + waitMs * 1_000_000;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            synchronized (this) {
                List<Rec> all = records(m);
                while (all.size() <= from) {
                    long leftMs = (until - System.nanoTime()) / 1_000_000;
                    if (leftMs <= 0) break;
                    wait(leftMs);
                }
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(all.size());
                out.writeLong(0);
                for (Rec r : all.subList(Math.min(from, all.size()), all.size())) {
                    out.writeInt(1 + r.key.length() + r.value.length);
                    out.writeByte(r.key.length());
                    out.writeBytes(r.key);
                    out.write(r.value);
                }
            }
            c.answer("200 OK", "Content-Type: application/octet-stream\r\n", bytes.toByteArray());
            return true;
        }

        private boolean append(Message m, Conn c) throws Exception {
            byte[] b = m.body;
            int keyLength = b[4];
            String key = new String(b, 5, keyLength, StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(b, 5 + keyLength, b.length);
            boolean isAccepted;
            int end;
            synchronized (this) {
                List<Rec> all = records(m);
                isAccepted = m.query("at") == null || Integer.parseInt(m.query("at")) == all.size();
                if (isAccepted) {
                    all.add(new Rec(key, value));
                    notifyAll();
                }
                end = all.size();
            }
            return json(c, isAccepted ? "200 OK" : "412 Precondition Failed", "{\"offset\":" + (end - 1) + ",\"end-offset\":" + end + "}");
        }

        private synchronized String join(String body) {
            Matcher m = Pattern.compile("\"member\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
            String member = m.find() ? m.group(1) : "";
            Matcher t = Pattern.compile("\"ttl-ms\"\\s*:\\s*(\\d+)").matcher(body);
            long ttlMs = t.find() ? Long.parseLong(t.group(1)) : 3000;
            long nowMs = System.nanoTime() / 1_000_000;
            boolean hasChanged = members.put(member, nowMs + ttlMs) == null;
            hasChanged |= members.values().removeIf(end -> end < nowMs);
            if (hasChanged) generation++;
            int part = new ArrayList<>(members.keySet()).indexOf(member);
            return "{\"generation\":" + generation + ",\"ttl-ms\":" + ttlMs + ",\"parts\":[[\"t\"," + part + ",0]]}";
        }

        private synchronized String owners() {
            StringBuilder rows = new StringBuilder();
            int part = 0;
            for (String member : members.keySet()) {
                if (rows.length() > 0) rows.append(',');
                rows.append("[\"t\",").append(part++).append(",\"").append(member).append("\",0]");
            }
            return "{\"parts\":[" + rows + "]}";
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---------------------------------------------------------------- replicas

    /** A replica that registers in the store and renews its entry every heartbeat. */
    static class Replica implements AutoCloseable {
        static final long HEARTBEAT_MS = 1200;
        final String id;
        final String service;
        final Store store;
        final Server server;
        private final long born = System.currentTimeMillis();
        private final int slots;
        private volatile String state = "ready";
        private volatile boolean isGone;
        private int sequence;

        Replica(String id, String service, int slots, Store store, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.store = store;
            server = new Server((request, conn) -> {
                String expected = request.header("X-Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    conn.answer("421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", new byte[0]);
                    return true;
                }
                if (request.target().startsWith("/v1/report")) {
                    conn.answer("200 OK", "Content-Type: application/json\r\n", bytes("{\"waiting\":0,\"running\":0}"));
                    return true;
                }
                return handler.handle(request, conn);
            });
            daemon("beat-" + id, () -> {
                while (!isGone) {
                    register();
                    try {
                        Thread.sleep(HEARTBEAT_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }

        private synchronized void register() {
            if (isGone) return;
            store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
                + "\",\"zone\":\"tn-north-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold-remaining-ms\":0,\"born\":" + born + ",\"sequence\":" + (++sequence) + "}");
        }

        /** Reports that it is draining; the store has accepted the report when this returns. */
        synchronized void drain() {
            state = "draining";
            register();
        }

        /** Removes its entry and ends. */
        synchronized void leave() throws IOException {
            isGone = true;
            store.put("keyed.servers", id, "");
            server.close();
        }

        @Override
        public void close() throws IOException {
            isGone = true;
            server.close();
        }
    }

    // ---------------------------------------------------------------- the product

    /** One process of the product, started with the command of the deploy file. */
    static final class Product implements AutoCloseable {
        final Process process;
        final int port;
        final int readinessPort;
        private final Path folder;

        Product(String name, Store store) throws Exception {
            port = freePort();
            readinessPort = freePort();
            int peerPort = freePort();
            folder = Files.createTempDirectory("review");
            Path settings = folder.resolve("boot.json");
            Files.writeString(settings, settings(name, store, peerPort));
            String deploy = Files.readString(Path.of("deploy", "system.toml"));
            Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"").matcher(deploy);
            if (!run.find()) throw new IllegalStateException("the deploy file has no run command");
            List<String> words = List.of(run.group(1).trim().split(" +"));
            ProcessBuilder builder = new ProcessBuilder(words);
            Map<String, String> env = builder.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("GODWITWICK_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(folder.resolve("out.log").toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(this::end));
            note("product " + name + " started");
        }

        private String settings(String name, Store store, int peerPort) {
            return "{\"node-name\":\"" + name + "\",\"role\":\"entry\",\"machine-class\":\"frontend\",\"serves\":[\"frontend\"],"
                + "\"ip-address\":\"127.0.0.1\",\"zone\":\"tn-north-a\",\"region\":\"tn-north\",\"zones\":{\"tn-north-a\":\"tn-north\"},"
                + "\"listen-addresses\":{\"frontend\":\"127.0.0.1:" + port + "\",\"readiness\":\"127.0.0.1:" + readinessPort + "\"},"
                + "\"internal-port-range\":[" + peerPort + "," + (peerPort + 15) + "],\"seed-nodes\":[],\"bootstrap\":true,"
                + "\"limits\":{\"cpu-share\":0.75,\"cpu-cores\":1,\"memory-mb\":430,\"file-descriptors\":4200},"
                + "\"data-directory\":null,\"heartbeat-interval-ms\":1200,"
                + "\"bounds\":{\"seed-lag-s\":3,\"reuse-after-s\":2,\"contact-window-ms\":3000,\"acknowledge-timeout-ms\":4000,"
                + "\"catch-up-s\":4,\"drain-timeout-ms\":2000,\"grace-period-s\":8,\"loss-slack-ms\":200,"
                + "\"configuration-apply-ms\":2000,\"rollback-slack-ms\":250,\"max-stretch-ms\":5000,\"fail-closed\":true,"
                + "\"revocation-ms\":5000,\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"retry-budget-slack\":100,"
                + "\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":0,\"stall_ms\":1500,\"max-hold-ms\":20000,"
                + "\"free-ms\":4000,\"max-idle-ms\":9000},"
                + "\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,"
                + "\"parts\":24,\"append-ms\":1.0,\"min-ttl-ms\":1000}}";
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", readinessPort), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(bytes("GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Message m = head(new BufferedInputStream(socket.getInputStream()));
                return m != null && m.first.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            double until = now() + 30;
            while (!isReady()) {
                if (now() > until || !process.isAlive()) throw new IllegalStateException("the product did not become ready; its output:\n" + output());
                Thread.sleep(100);
            }
            note("product is ready");
        }

        String output() throws IOException {
            return Files.readString(folder.resolve("out.log"));
        }

        /** Lines of the product's output that contain one of [words]. */
        List<String> outputWith(String... words) throws IOException {
            List<String> found = new ArrayList<>();
            for (String l : output().split("\n")) for (String w : words) if (l.contains(w)) {
                found.add(l);
                break;
            }
            return found;
        }

        Conn connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(20_000);
            return new Conn(socket);
        }

        @Override
        public void close() {
            end();
        }

        // Ends the process, waits for its end and removes its folder.
        private void end() {
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            File[] files = folder.toFile().listFiles();
            if (files != null) for (File f : files) f.delete();
            folder.toFile().delete();
        }
    }

    // ---------------------------------------------------------------- the operator

    static final String HOST = "menu.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    static String route(String name, String prefix, String kind, int timeoutMs, String service, int attempts, boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout-ms\":" + timeoutMs + ",\"target-latency-ms\":300,\"target-gap-ms\":250,\"priority\":1,\"service\":\"" + service
            + "\",\"attempts\":" + attempts + ",\"public\":false,\"sticky-sessions\":" + kind.equals("streaming")
            + ",\"resumable\":" + isResumable + "}";
    }

    static void configure(Store store, int version, String... routes) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],"
            + "\"services\":[{\"name\":\"menu-llm\",\"health-check-path\":\"/health\",\"connection-limit\":264,\"engine\":{\"slots\":11,"
            + "\"kv-cache-tokens\":232000,\"stride\":43,\"step_ms\":1.02,\"read_per_s\":206000.0,\"pairs_per_m\":0.138}},"
            + "{\"name\":\"order-desk\",\"health-check-path\":\"/health\",\"connection-limit\":96}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }

    static String requestHead(String method, String path, String id, int deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline: " + deadlineMs
            + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more + "\r\n";
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held. */
    static void verdict(boolean isBroken, String text) {
        note((isBroken ? "BROKEN: " : "HELD: ") + text);
        System.out.println((isBroken ? "BROKEN: " : "HELD: ") + text);
        System.out.flush();
        System.exit(isBroken ? 1 : 0);
    }

    static void cannotRun(Throwable e) {
        e.printStackTrace();
        if (record != null) note("could not run: " + e);
        System.exit(2);
    }
}
