import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** BUDGET: a request that crashes its replicas is refused by all instances, but the store doesn't know it: they restart and forget. */
public final class Forgotten {
    record Arrival(String requestId, String replica) { }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) { exit = run(rig, trouble); } catch (Throwable e) { e.printStackTrace(); }
        System.out.println("exit " + exit);
        System.exit(exit);
    }

    /** A process that is killed is started again after a short delay; it is in touch again 3,000 ms after its start. */
    static boolean restart(List<Rig.Instance> nodes) throws Exception {
        for (Rig.Instance n : nodes) n.signal("KILL");
        Rig.sleep(300);
        for (Rig.Instance n : nodes) n.start();
        for (Rig.Instance n : nodes) if (!n.awaitReady(25_000)) return false;
        Rig.sleep(3600);
        return true;
    }

    static int run(Rig rig, boolean trouble) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        Rig.Handler handler = (r, m, s, out) -> {
            String id = m.field("X-Request-Id");
            Rig.sleep(150);
            if (m.target().endsWith("/poison")) {
                arrivals.add(new Arrival(id, r.id));
                crashes.add(Rig.ms());
                rig.note("request " + id + " runs at replica " + r.id + " and crashes it");
                r.crash(3000);
                return false;
            }
            out.write(Rig.Replica.streamHead(m));
            for (long e = 1; e <= 5; e++) { out.write(Rig.Replica.chunk(Rig.Replica.event(e, "text"))); out.flush(); Rig.sleep(45); }
            out.write(Rig.utf("0\r\n\r\n"));
            return true;
        };
        for (int i = 0; i < 8; i++) new Rig.Replica(rig, "i-" + i, "llm", i % 2 == 0 ? "za" : "zb", handler);
        rig.config(3, List.of(Rig.route("r1", "/draft/", "streaming", "llm", 2, 10000, 300, true)), Rig.TENANTS);
        List<Rig.Instance> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) nodes.add(new Rig.Instance(rig, "n" + i, i % 2 == 0 ? "za" : "zb", i).start());
        for (Rig.Instance n : nodes) if (!n.awaitReady(25_000)) return 2;
        Rig.sleep(3600);
        Map<String, Long> sent = new LinkedHashMap<>();
        for (int cycle = 0; cycle < 3; cycle++) {
            send(rig, nodes.get(0), sent);
            Rig.sleep(500);
            // One process is killed and started again.
            if (trouble) { if (!restart(List.of(nodes.get(1)))) return 2; } else Rig.sleep(4500);
            send(rig, nodes.get(1), sent);
            Rig.sleep(1500);
            send(rig, nodes.get(2), sent);
            send(rig, nodes.get(1), sent);
            rig.note("records of quarantines at the store: " + rig.store.count("keyed.godwitwick-quarantines"));
            // All processes are killed at the same moment and started again.
            if (trouble && cycle < 2) { if (!restart(nodes)) return 2; } else Rig.sleep(4500);
        }
        if (crashes.size() < 3) return 2;
        long bound = crashes.get(2) + 3000;
        Set<String> late = new LinkedHashSet<>();
        for (Arrival a : arrivals) if (sent.get(a.requestId) > bound) late.add(a.requestId);
        rig.note("third crash at " + crashes.get(2) + " ms, crashes in all " + crashes.size() + "; retries sent over 3,000 ms later that reached replicas: " + late);
        return late.size() > 3 ? 1 : 0;
    }

    static void send(Rig rig, Rig.Instance n, Map<String, Long> sent) {
        String id = "poison" + sent.size();
        sent.put(id, Rig.ms());
        rig.note("request " + id + " is sent to " + n.name);
        Rig.Message m = Rig.ask(n.port, Rig.requestHead("POST", "/draft/poison", id, "key1", 10000, "X-Model: m", "X-Token-Counts: 1460,80", "X-Prompt-Prefix: 77aa0102:800,91bd3f06:660"), Rig.utf("the same prompt"), 10_000);
        rig.note("request " + id + ": " + (m == null ? "no answer" : m.start + ", " + new String(m.body).replaceAll("\\s+", " ")));
    }
}
