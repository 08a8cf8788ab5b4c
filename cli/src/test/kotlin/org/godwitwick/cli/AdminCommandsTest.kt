package org.godwitwick.cli

import org.godwitwick.node.http.StreamingUndertow
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import picocli.CommandLine
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path

/** Commands run in process against a stand-in for the administration API. */
class AdminCommandsTest {
    @TempDir
    lateinit var directory: Path

    private var answer = Response(Status.OK)
    private val requests = ArrayList<Pair<Request, String>>()
    private val server = StreamingUndertow("127.0.0.1", 0, 4).toServer { request ->
        requests.add(request to request.bodyString())
        answer
    }.start()

    @AfterEach
    fun stop() {
        server.stop()
    }

    private class CommandResult(val code: Int, val out: String, val err: String)

    private fun run(vararg args: String): CommandResult {
        val originals = System.out to System.err
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        System.setOut(PrintStream(out))
        System.setErr(PrintStream(err))
        return try {
            CommandResult(CommandLine(GodwitwickCommand()).execute(*args), out.toString(), err.toString())
        } finally {
            System.setOut(originals.first)
            System.setErr(originals.second)
        }
    }

    private fun admin(vararg args: String, port: Int = server.port()): CommandResult {
        val key = Files.writeString(directory.resolve("key"), "hush\n")
        return run(*args, "--url", "http://127.0.0.1:$port", "--key-file", "$key")
    }

    private fun publicationFile(value: String = "5") = Files.writeString(
        directory.resolve("p.json"),
        """{"id":"p","author":"maarja","atMs":1,
            // fleet-wide
            "changes":[{"name":"admission.queueMax","value":$value}]}""",
    ).toString()

    private fun failure(kind: String, fields: String = "") =
        """{"error":{"kind":"$kind","message":"m","ran":"no","retry_after_ms":null,"request_id":"r"}$fields}"""

    // Guards against exit codes by which scripts cannot distinguish accepted, refused, conflicting and unknown publications.
    @Test
    fun `the exit code of publish states the outcome`() {
        answer = Response(Status.OK).body("""{"id":"p","offset":7,"inForce":["a","b"],"notConfirmed":["c"]}""")
        expectThat(admin("publish", publicationFile())).and {
            get { code }.isEqualTo(0)
            get { out }.contains("accepted at offset 7, in force on 2 instances; not confirmed on c")
        }
        expectThat(requests.last().first.header("Authorization")).isEqualTo("Bearer hush")
        val conflict = ""","conflicts":[{"name":"n","scope":"fleet","expectedVersion":1,"actualVersion":2,
            "changedBy":"jaan","changedByPublication":"q"}]"""
        answer = Response(Status.CONFLICT).body(failure("conflict", conflict))
        expectThat(admin("publish", publicationFile())).and {
            get { code }.isEqualTo(3)
            get { err }.contains("changed by jaan in q")
        }
        answer = Response(Status.CONFLICT).body(failure("outcome_pending"))
        expectThat(admin("publish", publicationFile()).code).isEqualTo(4)
        answer = Response(Status.BAD_GATEWAY).body(failure("outcome_unknown"))
        expectThat(admin("publish", publicationFile()).code).isEqualTo(4)
        answer = Response(Status.SERVICE_UNAVAILABLE).body(failure("log_unavailable"))
        expectThat(admin("publish", publicationFile()).code).isEqualTo(1)
    }

    // Guards against sending a publication that can be rejected locally, and against printing the operator key.
    @Test
    fun `an invalid publication is not sent and an unreachable instance is reported`() {
        expectThat(admin("publish", publicationFile("-1"))).and {
            get { code }.isEqualTo(2)
            get { err }.contains("changes[0].value: -1 is not valid, expected a whole number from 1 to 100000 (requests)")
        }
        expectThat(requests.size).isEqualTo(0)
        expectThat(admin("audit", port = 1)).and {
            get { code }.isEqualTo(1)
            get { err }.contains("not reached").not().contains("hush")
        }
    }

    // Guards against an audit that does not show which default an exception replaces.
    @Test
    fun `audit prints exceptions with reason, author and effect, or the answer as JSON`() {
        val entry = """{"name":"admission.queueMax","scope":"class:long","unit":"requests","value":9,"version":4,
            "author":"maarja","atMs":0,"reason":"festival"}"""
        val body = """{"appliedOffset":4,"freshness":"current","defaults":[],
            "exceptions":[{"exception":$entry,"replacedDefault":512}],
            "notAtNewest":[{"id":"entry-2","region":"r","dataCentre":"d","state":"live","appliedOffset":3}]}"""
        answer = Response(Status.OK).body(body)
        expectThat(admin("audit").out)
            .contains("admission.queueMax in class:long = 9 (requests), version 4, by maarja at 1970-01-01T00:00:00Z")
            .contains("in place of 512; reason: festival")
            .contains("entry-2 d live at 3")
        expectThat(admin("audit", "--json").out.trim()).isEqualTo(body)
    }

    // Guards against a check that stops at the first file or fault.
    @Test
    fun `check reports the faults of all files offline`() {
        val settings = Files.writeString(directory.resolve("s.json"), """{"instanceId":"a","httpPort":-1}""").toString()
        expectThat(run("check", publicationFile("0.5"), settings)).and {
            get { code }.isEqualTo(2)
            get {
                out
            }.contains(
                "p.json: changes[0].value: 0.5",
            ).contains("s.json: httpPort: -1").contains("s.json: region: a missing field")
        }
        expectThat(run("check", "--json", publicationFile()).out.trim()).isEqualTo("[]")
    }
}
