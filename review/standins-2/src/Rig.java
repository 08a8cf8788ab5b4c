import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Small stand-ins for the cases of the second review: platform store, replicas, clients, and the processes of the system. */
public final class Rig implements AutoCloseable {
    static final long START = System.nanoTime();
    final PrintWriter record;
    final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    final Store store;
    final Path root;
    final Path temp;

    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        temp = Files.createTempDirectory("review-2");
        store = new Store(this);
        open.add(store);
    }

    static long ms() { return (System.nanoTime() - START) / 1_000_000; }

    void note(String text) {
        synchronized (record) { record.printf(Locale.ROOT, "%8.3f s  %s%n", (System.nanoTime() - START) / 1e9, text); }
    }

    @Override public void close() {
        for (int i = open.size() - 1; i >= 0; i--) {
            try { open.get(i).close(); } catch (Exception e) { /* ends anyway */ }
        }
        try (var files = Files.walk(temp)) { files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete()); } catch (IOException e) { /* temporary */ }
        record.flush();
    }

    private static final Random PORTS = new Random();

    /** A free port below those that the kernel gives to outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (ServerSocket s = new ServerSocket()) { s.bind(new InetSocketAddress("127.0.0.1", port)); return port; } catch (BindException e) { /* in use */ }
        }
    }

    // ---- HTTP on plain sockets ----

    static final class Message {
        String start = "";
        final List<String[]> fields = new ArrayList<>();
        byte[] body = new byte[0];
        boolean wholeBody = true;
        String field(String name) {
            for (String[] f : fields) if (f[0].equalsIgnoreCase(name)) return f[1];
            return null;
        }
        String method() { return start.split(" ")[0]; }
        String target() { return start.split(" ")[1]; }
        int status() { try { return Integer.parseInt(start.split(" ")[1]); } catch (RuntimeException e) { return -1; } }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return text.length() == 0 ? null : text.toString();
            if (b == '\n') break;
            text.append((char) b);
        }
        if (text.length() > 0 && text.charAt(text.length() - 1) == '\r') text.setLength(text.length() - 1);
        return text.toString();
    }

    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) return null;
        Message m = new Message();
        m.start = start;
        while (true) {
            String l = line(in);
            if (l == null) return null;
            if (l.isEmpty()) return m;
            int c = l.indexOf(':');
            m.fields.add(new String[] {l.substring(0, c), l.substring(c + 1).trim()});
        }
    }

    /** Reads a whole message; wholeBody tells whether its end was seen. untilClose: a body without a length ends with the connection. */
    static Message read(InputStream in, boolean untilClose) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        m.wholeBody = false;
        try {
            String te = m.field("Transfer-Encoding");
            String cl = m.field("Content-Length");
            if (te != null) {
                while (true) {
                    String size = line(in);
                    if (size == null) break;
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (n == 0) { String l; while ((l = line(in)) != null && !l.isEmpty()) { } m.wholeBody = l != null; break; }
                    byte[] part = in.readNBytes(n);
                    body.write(part);
                    if (part.length < n) break;
                    line(in);
                }
            } else if (cl != null) {
                byte[] part = in.readNBytes(Integer.parseInt(cl.trim()));
                body.write(part);
                m.wholeBody = part.length == Integer.parseInt(cl.trim());
            } else if (untilClose) {
                in.transferTo(body);
                m.wholeBody = true;
            } else m.wholeBody = true;
        } catch (IOException e) { m.wholeBody = false; }
        m.body = body.toByteArray();
        return m;
    }

    static byte[] response(int status, List<String[]> fields, byte[] body) {
        StringBuilder t = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String[] f : fields) t.append(f[0]).append(": ").append(f[1]).append("\r\n");
        t.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] h = t.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        return all;
    }

    static byte[] utf(String s) { return s.getBytes(StandardCharsets.UTF_8); }

    interface Connection { void serve(Socket s) throws Exception; }

    /** A listening socket; each connection has a thread. */
    static final class Listener implements AutoCloseable {
        final ServerSocket server = new ServerSocket();
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        Listener(int port, Connection c) throws IOException {
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 500);
            daemon(() -> {
                while (!server.isClosed()) {
                    Socket s;
                    try { s = server.accept(); } catch (IOException e) { return; }
                    sockets.add(s);
                    daemon(() -> {
                        try (s) { s.setTcpNoDelay(true); c.serve(s); } catch (Exception e) { /* the peer is gone */ } finally { sockets.remove(s); }
                    });
                }
            });
        }
        int port() { return server.getLocalPort(); }
        @Override public void close() throws IOException { server.close(); for (Socket s : sockets) s.close(); }
        /** As a crash: connections are reset. */
        void crash() throws IOException {
            server.close();
            for (Socket s : sockets) { try { s.setSoLinger(true, 0); s.close(); } catch (IOException e) { /* gone */ } }
        }
    }

    static Thread daemon(Runnable r) { Thread t = new Thread(r); t.setDaemon(true); t.start(); return t; }

    static void sleep(long ms) { if (ms <= 0) return; try { Thread.sleep(ms); } catch (InterruptedException e) { throw new IllegalStateException(e); } }

    // ---- the platform's store ----

    static final class Store implements AutoCloseable {
        record Rec(String key, byte[] value, byte[] raw) { }
        final Map<String, List<Rec>> topics = new HashMap<>();
        final Map<String, Map<String, Long>> groups = new HashMap<>();
        final Map<String, Long> generations = new HashMap<>();
        final Listener listener;
        final Rig rig;
        /** Delay of each answer in ms; may be changed. */
        volatile long slowMs = 4;
        /** May reject a call: returns a status, 0 to serve it, -1 to leave it unanswered. */
        volatile Function<Message, Integer> gate = m -> 0;

        Store(Rig rig) throws IOException { this.rig = rig; listener = new Listener(0, this::serve); }
        String address() { return "127.0.0.1:" + listener.port(); }

        /** Size of the last record of a topic. */
        synchronized int size(String topic) { List<Rec> t = topics.get(topic); return t.get(t.size() - 1).raw.length; }

        /** Number of records of a topic. */
        synchronized int count(String topic) { return topics.getOrDefault(topic, List.of()).size(); }

        synchronized void put(String topic, String key, byte[] value) {
            byte[] k = utf(key);
            byte[] raw = new byte[1 + k.length + value.length];
            raw[0] = (byte) k.length;
            System.arraycopy(k, 0, raw, 1, k.length);
            System.arraycopy(value, 0, raw, 1 + k.length, value.length);
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Rec(key, value, raw));
            notifyAll();
        }

        private static Map<String, String> query(String target) {
            Map<String, String> q = new HashMap<>();
            int i = target.indexOf('?');
            if (i >= 0) for (String p : target.substring(i + 1).split("&")) {
                String[] kv = p.split("=", 2);
                q.put(URLDecoder.decode(kv[0], StandardCharsets.UTF_8), URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
            }
            return q;
        }

        private void serve(Socket s) throws Exception {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Message m = read(in, false);
                if (m == null) return;
                int rejected = gate.apply(m);
                if (rejected == -1) { sleep(60_000); return; }
                if (rejected > 0) { out.write(response(rejected, List.of(), new byte[0])); continue; }
                byte[] answer = answer(m);
                sleep(slowMs);
                out.write(answer);
            }
        }

        private byte[] json(String text) { return response(200, List.<String[]>of(new String[] {"Content-Type", "application/json"}), utf(text)); }

        private byte[] answer(Message m) throws Exception {
            Map<String, String> q = query(m.target());
            String path = m.target().split("\\?")[0];
            switch (path) {
                case "/v1/log-newest": {
                    synchronized (this) {
                        List<Rec> recs = topics.getOrDefault(q.get("topic"), List.of());
                        LinkedHashMap<String, Integer> last = new LinkedHashMap<>();
                        for (int i = 0; i < recs.size(); i++) { last.remove(recs.get(i).key); if (recs.get(i).value.length > 0) last.put(recs.get(i).key, i); }
                        StringBuilder t = new StringBuilder("{\"items\":[");
                        boolean first = true;
                        for (var e : last.entrySet()) {
                            if (!first) t.append(',');
                            first = false;
                            t.append("{\"key\":\"").append(e.getKey()).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(recs.get(e.getValue()).value)).append("\",\"offset\":").append(e.getValue()).append('}');
                        }
                        t.append("],\"has-more\":false,\"end-offset\":").append(recs.size()).append('}');
                        return json(t.toString());
                    }
                }
                case "/v1/log-read": {
                    int from = Integer.parseInt(q.get("from"));
                    long wait = Long.parseLong(q.getOrDefault("wait-ms", "0"));
                    long until = ms() + wait;
                    synchronized (this) {
                        while (topics.getOrDefault(q.get("topic"), List.of()).size() <= from && ms() < until) wait(Math.max(1, until - ms()));
                        List<Rec> recs = topics.getOrDefault(q.get("topic"), List.of());
                        ByteArrayOutputStream b = new ByteArrayOutputStream();
                        DataOutputStream d = new DataOutputStream(b);
                        d.writeLong(recs.size());
                        d.writeLong(0);
                        for (int i = from; i < recs.size(); i++) { d.writeInt(recs.get(i).raw.length); d.write(recs.get(i).raw); }
                        return response(200, List.of(), b.toByteArray());
                    }
                }
                case "/v1/log-append": {
                    synchronized (this) {
                        String topic = q.get("topic");
                        int end = topics.getOrDefault(topic, List.of()).size();
                        if (q.containsKey("at") && Integer.parseInt(q.get("at")) != end)
                            return response(412, List.of(), utf("{\"end-offset\":" + end + "}"));
                        DataInputStream d = new DataInputStream(new ByteArrayInputStream(m.body));
                        int offset = end;
                        while (d.available() > 0) {
                            byte[] raw = d.readNBytes(d.readInt());
                            int k = raw[0] & 255;
                            put(topic, new String(raw, 1, k, StandardCharsets.UTF_8), Arrays.copyOfRange(raw, 1 + k, raw.length));
                            end++;
                        }
                        return json("{\"offset\":" + offset + ",\"end-offset\":" + end + "}");
                    }
                }
                case "/v1/log-join": {
                    synchronized (this) {
                        String body = new String(m.body, StandardCharsets.UTF_8);
                        String group = text(body, "group");
                        String member = text(body, "member");
                        long ttl = Long.parseLong(body.replaceAll(".*\"ttl-ms\":(\\d+).*", "$1"));
                        Map<String, Long> members = groups.computeIfAbsent(group, g -> new LinkedHashMap<>());
                        boolean changed = members.values().removeIf(t -> t < ms());
                        changed |= members.put(member, ms() + ttl) == null;
                        if (changed) generations.merge(group, 1L, Long::sum);
                        return json("{\"generation\":" + generations.get(group) + ",\"ttl-ms\":" + ttl + ",\"parts\":[[\"" + group + "-1\",0,0]]}");
                    }
                }
                case "/v1/log-owners": {
                    synchronized (this) {
                        Map<String, Long> members = groups.getOrDefault(q.get("group"), Map.of());
                        StringBuilder t = new StringBuilder("{\"parts\":[");
                        int i = 0;
                        for (var e : members.entrySet()) if (e.getValue() >= ms()) t.append(i == 0 ? "" : ",").append("[\"t\",").append(i++).append(",\"").append(e.getKey()).append("\",0]");
                        return json(t.append("]}").toString());
                    }
                }
                default: return response(400, List.of(), new byte[0]);
            }
        }
        private static String text(String json, String name) { return json.replaceAll(".*\"" + name + "\":\"([^\"]*)\".*", "$1"); }
        @Override public void close() throws Exception { listener.close(); }
    }

    // ---- configuration ----

    static String route(String name, String prefix, String kind, String service, int attempts, long timeoutMs, long targetMs, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"r.example\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMs
            + ",\"target-latency-ms\":" + targetMs + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts + ",\"public\":false"
            + (kind.equals("streaming") ? ",\"sticky-sessions\":true,\"resumable\":" + resumable + ",\"target-gap-ms\":250" : "") + "}";
    }

    /** Called with each order to a replica. */
    volatile BiConsumer<Replica, String> onOrder = (r, body) -> { };

    /** Further services of the configuration. */
    String moreServices = "";

    /** What the service llm states of cold replicas; empty if nothing. */
    String llmCold = "";

    void config(long version, List<String> routes, String tenants) {
        String llm = "{\"name\":\"llm\"," + llmCold + "\"health-check-path\":\"/health\",\"connection-limit\":264,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":11,\"kv-cache-tokens\":232000,\"kv-token-bytes\":327680,\"link-bandwidth-mbps\":400000.0,\"stride\":43,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.02,\"per_seq_ms\":0.0033,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":12316,\"answer\":1303},\"hop-ms\":0.075}}";
        String desk = "{\"name\":\"desk\",\"health-check-path\":\"/health\",\"connection-limit\":96,\"protocol\":\"h1\",\"tls\":false}";
        store.put("keyed.op", "config", utf("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + llm + "," + desk + moreServices
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":10000},\"tenants\":" + tenants + "}"));
        note("config version " + version);
    }

    static final String TENANTS = "[{\"name\":\"t1\",\"api-keys\":[\"key1\"]},{\"name\":\"t2\",\"api-keys\":[\"key2\"]}]";

    // ---- replicas ----

    interface Handler { /** Returns false to close the connection. */ boolean handle(Replica r, Message m, Socket s, OutputStream out) throws Exception; }

    static final AtomicLong births = new AtomicLong(1_700_000_000_000L);

    static final class Replica implements AutoCloseable {
        final Rig rig;
        final String id, service, zone;
        volatile long born;
        final AtomicLong seq = new AtomicLong();
        volatile Listener listener;
        final int port;
        volatile boolean up;
        volatile String state = "ready";
        /** Until when it is cold, and for how long after a start. */
        volatile long coldUntil, coldMs;
        /** While true, it answers nothing and registers no more. */
        volatile boolean dark;
        /** While true, its registrations fail. */
        volatile boolean cutFromStore;
        final Handler handler;
        Replica(Rig rig, String id, String service, String zone, Handler handler) throws IOException {
            this.rig = rig; this.id = id; this.service = service; this.zone = zone; this.handler = handler;
            port = freePort();
            listener = new Listener(port, this::serve);
            born = births.incrementAndGet();
            up = true;
            daemon(() -> { while (true) { if (up) register(); sleep(1200); } });
            rig.open.add(this);
        }
        String address() { return "127.0.0.1:" + port; }
        void register() {
            if (cutFromStore || dark) return;
            rig.store.put("keyed.servers", id, utf("{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"" + state
                + "\",\"cold-remaining-ms\":" + Math.max(0, coldUntil - ms()) + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" + seq.incrementAndGet() + ",\"born\":" + born + "}"));
        }
        void crash(long backMs) {
            if (!up) return;
            up = false;
            rig.note("replica " + id + " crashes");
            try { listener.crash(); } catch (IOException e) { /* closed */ }
            daemon(() -> {
                sleep(backMs);
                try { listener = new Listener(port, this::serve); } catch (IOException e) { rig.note("replica " + id + " can't listen: " + e); return; }
                born = births.incrementAndGet();
                seq.set(0);
                coldUntil = ms() + coldMs;
                up = true;
                register();
                rig.note("replica " + id + " is back");
            });
        }
        private void serve(Socket s) throws Exception {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Message m = read(in, false);
                if (m == null) return;
                while (dark) sleep(100);
                String path = m.target();
                String expected = m.field("X-Expected-Instance");
                if (expected != null && !expected.equals(id)) { out.write(response(421, List.<String[]>of(new String[] {"X-Instance-Id", id}), new byte[0])); continue; }
                if (path.equals("/health")) { out.write(response(200, List.<String[]>of(new String[] {"X-Instance-Id", id}), new byte[0])); continue; }
                if (path.equals("/v1/order")) { rig.onOrder.accept(this, new String(m.body, StandardCharsets.UTF_8)); out.write(response(200, List.<String[]>of(new String[] {"Content-Type", "application/json"}), utf("{\"free\":100000}"))); continue; }
                if (!handler.handle(this, m, s, out)) return;
            }
        }
        static byte[] ok(Message m, byte[] body) {
            return response(200, List.of(new String[] {"X-Request-Id", m.field("X-Request-Id")}, new String[] {"X-Response-Signature", "sig." + m.field("X-Request-Id")}), body);
        }
        static byte[] streamHead(Message m) {
            return ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + m.field("X-Request-Id") + "\r\nX-Response-Signature: sig." + m.field("X-Request-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        }
        static byte[] chunk(String text) { return utf(Integer.toHexString(utf(text).length) + "\r\n" + text + "\r\n"); }
        static String event(long id, String text) { return "id: " + id + "\ndata: " + text + "\n\n"; }
        @Override public void close() throws Exception { up = false; listener.close(); }
    }

    // ---- processes of the system ----

    static final class Instance implements AutoCloseable {
        final Rig rig;
        final String name;
        final int port, readiness;
        final Path settings, log;
        volatile Process process;
        final List<String> command;
        Instance(Rig rig, String name, String zone, int index) throws Exception {
            this.rig = rig; this.name = name;
            port = freePort(); readiness = freePort();
            int peer = freePort(), control = freePort();
            settings = rig.temp.resolve(name + ".json");
            log = rig.temp.resolve(name + ".log");
            Files.writeString(settings, "{\"node-name\":\"" + name + "\",\"role\":\"entry\",\"machine-class\":\"frontend\",\"serves\":[\"frontend\"],\"ip-address\":\"127.0.0.1\",\"zone\":\"" + zone
                + "\",\"region\":\"r\",\"zones\":{\"za\":\"r\",\"zb\":\"r\"},\"listen-addresses\":{\"frontend\":\"127.0.0.1:" + port + "\",\"readiness\":\"127.0.0.1:" + readiness + "\",\"control-plane\":\"127.0.0.1:" + control
                + "\"},\"internal-port-range\":[" + peer + "," + peer + "],\"seed-nodes\":[],\"bootstrap\":true,\"counts-toward-tolerance\":false,\"limits\":{\"cpu-share\":0.75,\"cpu-cores\":1,\"memory-mb\":430,\"file-descriptors\":4200,\"link-bandwidth-mbps\":1000.0,\"disk-mb\":0},\"data-directory\":null,\"discovery\":\"platform\",\"entry-point\":\"virtual_ip\",\"heartbeat-interval-ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"spans\"],\"fault-tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seed-lag-s\":3,\"reuse-after-s\":2,\"contact-window-ms\":3000,\"acknowledge-timeout-ms\":4000,\"catch-up-s\":4,\"drain-timeout-ms\":2000,\"grace-period-s\":8,\"loss-slack-ms\":200,\"configuration-apply-ms\":2000,\"rollback-slack-ms\":250,\"max-stretch-ms\":5000,\"fail-closed\":true,\"revocation-ms\":5000,\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"retry-budget-slack\":100,\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":0,\"stall_ms\":1500,\"max-hold-ms\":20000,\"free-ms\":4000,\"max-idle-ms\":9000,\"cold-overage\":1.5,\"cold-slack\":5,\"evacuation-ms\":5000},\"platform\":{\"address\":\"" + rig.store.address()
                + "\",\"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,\"parts\":24,\"append-ms\":1.0,\"part-mb-per-s\":20.0,\"read-mb-per-s\":80.0,\"record-bytes\":262144,\"call-bytes\":2097152,\"keep_s\":300,\"partition-mb\":200,\"min-ttl-ms\":1000}}");
            String run = Files.readAllLines(rig.root.resolve("deploy/system.toml")).stream().filter(l -> l.startsWith("run")).findFirst().orElseThrow();
            command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
            rig.open.add(this);
        }
        Instance start() throws IOException {
            ProcessBuilder b = new ProcessBuilder(command).directory(rig.root.toFile()).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Map<String, String> env = b.environment();
            Map<String, String> kept = new HashMap<>(env);
            env.clear();
            for (String n : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) if (kept.containsKey(n)) env.put(n, kept.get(n));
            env.put("GODWITWICK_SETTINGS", settings.toString());
            process = b.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            rig.note("instance " + name + " starts as process " + process.pid());
            return this;
        }
        boolean isReady() {
            try {
                HttpURLConnection c = (HttpURLConnection) new URL("http://127.0.0.1:" + readiness + "/v1/readiness").openConnection();
                c.setConnectTimeout(500); c.setReadTimeout(1000);
                int code = c.getResponseCode();
                c.disconnect();
                return code == 200;
            } catch (IOException e) { return false; }
        }
        boolean awaitReady(long withinMs) {
            long until = ms() + withinMs;
            while (ms() < until) { if (isReady()) { rig.note("instance " + name + " is ready"); return true; } sleep(50); }
            return false;
        }
        void signal(String s) throws Exception { rig.note("SIG" + s + " to " + name); new ProcessBuilder("kill", "-" + s, "" + process.pid()).start().waitFor(); }
        @Override public void close() throws Exception {
            if (process != null && process.isAlive()) { process.destroyForcibly(); process.waitFor(5, TimeUnit.SECONDS); }
        }
    }

    // ---- clients ----

    static String requestHead(String method, String path, String id, String key, long deadlineMs, String... more) {
        StringBuilder t = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: r.example\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n");
        for (String m : more) t.append(m).append("\r\n");
        return t.toString();
    }
    static Socket connect(int port) throws IOException {
        Socket s = new Socket();
        s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        s.setTcpNoDelay(true);
        return s;
    }
    /** One request on a connection of its own; null without an answer. */
    static Message ask(int port, String head, byte[] body, int timeoutMs) {
        try (Socket s = connect(port)) {
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write(utf(head + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n"));
            if (body != null) s.getOutputStream().write(body);
            return read(new BufferedInputStream(s.getInputStream()), true);
        } catch (IOException e) { return null; }
    }
}
