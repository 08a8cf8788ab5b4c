import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** BUDGET: a request whose stream crashes each replica that runs it, after its second event, and whose caller sends it again. */
public final class Poison {
    record Arrival(long atMs, String requestId, String replica) { }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
            exit = run(rig, trouble);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.out.println("exit " + exit);
        System.exit(exit);
    }

    static int run(Rig rig, boolean trouble) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        Rig.Handler handler = (r, m, s, out) -> {
            String id = m.field("X-Request-Id");
            boolean poison = m.target().endsWith("/poison");
            long first = m.field("Last-Event-Id") == null ? 1 : Long.parseLong(m.field("Last-Event-Id")) + 1;
            if (poison) { arrivals.add(new Arrival(Rig.ms(), id, r.id)); rig.note("request " + id + " reaches replica " + r.id + ", from event " + first); }
            Rig.sleep(30);
            out.write(Rig.Replica.streamHead(m));
            for (long e = first; e <= 12; e++) {
                out.write(Rig.Replica.chunk(Rig.Replica.event(e, "text " + e)));
                out.flush();
                Rig.sleep(45);
                if (poison && trouble && e == first + 1) {
                    crashes.add(Rig.ms());
                    rig.note("request " + id + " crashes replica " + r.id + " after event " + e);
                    r.crash(3000);
                    return false;
                }
            }
            out.write(Rig.utf("0\r\n\r\n"));
            return true;
        };
        for (int i = 0; i < 8; i++) new Rig.Replica(rig, "i-" + i, "llm", i % 2 == 0 ? "za" : "zb", handler);
        rig.config(3, List.of(Rig.route("r1", "/draft/", "streaming", "llm", 2, 10000, 300, true)), Rig.TENANTS);
        List<Rig.Instance> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) nodes.add(new Rig.Instance(rig, "n" + i, i % 2 == 0 ? "za" : "zb", i).start());
        for (Rig.Instance n : nodes) if (!n.awaitReady(25_000)) { rig.note("an instance is not ready"); return 2; }
        Rig.sleep(3000);
        byte[] body = Rig.utf("the same prompt");
        Map<String, Long> sent = new LinkedHashMap<>();
        for (int k = 0; k < 14; k++) {
            Rig.Instance n = nodes.get(k % nodes.size());
            // A sound request beside it, of another caller.
            Rig.Message sound = Rig.ask(n.port, Rig.requestHead("POST", "/draft/sound", "sound" + k, "key2", 10000, "X-Model: m", "X-Token-Counts: 1460,80", "X-Prompt-Prefix: 5c1e07a2:800,91bd3f" + (10 + k) + ":660"), Rig.utf("prompt " + k), 10_000);
            rig.note("sound request " + k + ": " + (sound == null ? "no answer" : sound.start + (sound.wholeBody ? ", whole" : ", cut")));
            String id = "poison" + k;
            sent.put(id, Rig.ms());
            rig.note("request " + id + " is sent to " + n.name);
            Rig.Message m = Rig.ask(n.port, Rig.requestHead("POST", "/draft/poison", id, "key1", 10000, "X-Model: m", "X-Token-Counts: 1460,80", "X-Prompt-Prefix: 77aa0102:800,91bd3f06:660"), body, 10_000);
            rig.note("request " + id + ": " + (m == null ? "no answer" : m.start + (m.wholeBody ? ", whole" : ", cut") + ", " + m.body.length + " bytes"));
            Rig.sleep(3500);
        }
        if (!trouble) {
            rig.note("no crash; " + arrivals.size() + " arrivals");
            return crashes.isEmpty() && arrivals.size() >= 14 ? 0 : 2;
        }
        if (crashes.size() < 3) { rig.note("fewer than three crashes"); return arrivals.size() > 0 ? 0 : 2; }
        long bound = crashes.get(2) + 3000;
        Set<String> late = new LinkedHashSet<>();
        for (Arrival a : arrivals) if (sent.get(a.requestId) > bound) late.add(a.requestId);
        rig.note("third crash at " + crashes.get(2) + " ms, crashes in all " + crashes.size() + "; retries sent over 3,000 ms later that reached replicas: " + late);
        return late.size() > 3 ? 1 : 0;
    }
}
