package org.godwitwick.node.admin

import kotlinx.serialization.json.Json
import org.godwitwick.core.config.BuiltInConfig
import org.godwitwick.core.config.Publication
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.node.await
import org.godwitwick.node.config.ConfigBounds
import org.godwitwick.node.config.ConfigSystem
import org.godwitwick.node.config.PublicationTimeouts
import org.godwitwick.node.config.queueMax
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.http.CallerRoutes
import org.godwitwick.node.http.ScriptedGenerate
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.platform.MemoryLog
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.sha256Hex
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class AdminRoutesTest {
    private val control = ControlThread()
    private val log = MemoryLog()
    private val list = listOf("entry-1", "entry-2", "entry-3").map {
        ListedInstance(
            InstanceId(it),
            ListedKind.ENTRY,
            address = "unused",
            region = "r",
            dataCentre = if (it ==
                "entry-1"
            ) {
                "a"
            } else {
                "b"
            },
        )
    }

    // A list with only this instance allows it to append. Tests add the other instances later.
    private var listed = list.take(1)
    private val config = ConfigSystem(
        self = Peer(InstanceId("entry-1"), "r", "a"),
        incarnation = 1,
        secret = null,
        platformLog = log,
        listed = { listed },
        control = control,
        bounds = ConfigBounds(),
        host = "127.0.0.1",
        peerPort = 0,
        timeouts = PublicationTimeouts(inForceMs = 1),
    ).apply { start() }
    private val keys =
        KeyRing(listOf(KeyEntry(sha256Hex("op"), operator = "maarja"), KeyEntry(sha256Hex("org"), organisation = "studio")))
    private val routes = AdminRoutes(keys, config, control) { listed }.routes()

    @AfterEach
    fun close() {
        config.close()
        control.close()
    }

    private fun publish(publication: Publication): Response = routes(
        Request(
            Method.POST,
            "/admin/v1/publications",
        ).header("Authorization", "Bearer op").body(Json.encodeToString(publication)),
    )

    private fun get(path: String, key: String = "op") = routes(Request(Method.GET, path).header("Authorization", "Bearer $key"))

    private fun awaitAppendable() = await("a confirmed majority") { publish(queueMax("probe", 5)).status == Status.OK }

    // Guards against access to the configuration without an operator's key, and against publishing under another operator's name.
    @Test
    fun `only operators have access, and they publish only under their own name`() {
        listOf("config", "history", "upstreams", "instances", "audit").forEach {
            expectThat(get("/admin/v1/$it", key = "org").status.code).isEqualTo(403)
            expectThat(get("/admin/v1/$it", key = "wrong").status.code).isEqualTo(401)
            expectThat(get("/admin/v1/$it").status.code).isEqualTo(200)
        }
        expectThat(publish(queueMax("a", 5, author = "jaan")).status.code).isEqualTo(403)
    }

    // Guards against an audit that omits an exception, the value it replaces, or an instance with an older configuration.
    @Test
    fun `the audit lists defaults, exceptions with reason and replaced value, and instances that are behind`() {
        awaitAppendable()
        val default = queueMax("probe", 5).changes[0]
        val exception = Publication(
            "e",
            "maarja",
            1_000,
            "festival week",
            listOf(default.copy(scope = org.godwitwick.core.config.ConfigScope("class:long"))),
        )
        expectThat(publish(exception).status.code).isEqualTo(200)
        listed = list
        await("members of the new list") { config.peers.members.size == 3 }
        val audit = Json.decodeFromString<AuditAnswer>(get("/admin/v1/audit").bodyString())
        expectThat(audit.exceptions.single()).and {
            get { exception.reason }.isEqualTo("festival week")
            get { exception.author }.isEqualTo("maarja")
            get { replacedDefault.toString() }.isEqualTo("5")
        }
        expectThat(audit.defaults.first { it.name == "admission.queueMax" }.version).isEqualTo(0)
        expectThat(audit.notAtNewest.map { it.id }).containsExactly("entry-2", "entry-3")
    }

    // Guards against answers to a conflict or an invalid publication that lack what the operator needs to correct it.
    @Test
    fun `the answer to a refused publication contains the conflicting author or all faults`() {
        awaitAppendable()
        val conflict = publish(queueMax("b", 6))
        expectThat(conflict.status.code).isEqualTo(409)
        expectThat(conflict.bodyString()).contains("\"changedBy\":\"maarja\"").contains("\"kind\":\"conflict\"")
        val invalid = publish(queueMax("c", -1, expected = -7))
        expectThat(invalid.status.code).isEqualTo(400)
        expectThat(Json.decodeFromString<PublishFailure>(invalid.bodyString()).faults.map { it.field })
            .containsExactly("changes[0].expectedVersion", "changes[0].value")
        val unknownField = Request(Method.POST, "/admin/v1/publications").header("Authorization", "Bearer op").body("{\"ide\":1}")
        expectThat(routes(unknownField).status.code).isEqualTo(400)
        expectThat(publish(queueMax("d", 1).copy(reason = "x".repeat(70_000))).status.code).isEqualTo(413)
        log.isDown = true
        expectThat(publish(queueMax("f", 6, expected = 0)).bodyString()).contains("log_unavailable").contains("\"ran\":\"no\"")
    }

    // Guards against new work under a configuration that may have been replaced, and against requests in flight that cannot be
    // cancelled.
    @Test
    fun `a cut-off instance refuses new work but accepts cancellations`() {
        val callers = CallerRoutes(
            keys = KeyRing(listOf(KeyEntry(sha256Hex("org"), organisation = "studio"))),
            generate = ScriptedGenerate(),
            config = { BuiltInConfig },
            nowMs = { 0 },
            refusal = { Failure(ErrorKind.CONFIG_UNCONFIRMED, "cut off") },
        ).routes()
        val guarded = { request: Request -> callers(request.header("Authorization", "Bearer org")) }
        val refused = guarded(Request(Method.POST, "/v1/completions").body("{}"))
        expectThat(refused.status.code).isEqualTo(503)
        expectThat(refused.bodyString()).contains("config_unconfirmed").contains("\"ran\":\"no\"")
        val cancelled = guarded(Request(Method.POST, "/v1/requests/x/cancel"))
        expectThat(cancelled.bodyString()).contains("no request x in flight")
    }
}
