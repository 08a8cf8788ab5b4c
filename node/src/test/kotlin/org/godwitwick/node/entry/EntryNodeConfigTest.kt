package org.godwitwick.node.entry

import okhttp3.OkHttpClient
import okhttp3.RequestBody.Companion.toRequestBody
import org.godwitwick.node.await
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.platform.MemoryLog
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class EntryNodeConfigTest {
    private val log = MemoryLog()
    private val rows = listOf("entry-1", "entry-2", "entry-3").joinToString {
        """{"id":"$it","kind":"entry","address":"127.0.0.1:1","peer_address":"127.0.0.1:1","region":"r","data_centre":"d"}"""
    }
    private val list = StreamingUndertow("127.0.0.1", 0, 4).toServer {
        Response(Status.OK).body("""{"instances":[$rows]}""")
    }.start()
    private val client = OkHttpClient()
    private val node = EntryNode(
        NodeSettings(
            instanceId = "entry-1",
            region = "r",
            dataCentre = "d",
            httpPort = 0,
            keysFile = "unused",
            logUrl = "http://127.0.0.1:1",
            instanceListUrl = "http://127.0.0.1:${list.port()}",
            workerThreads = 8,
        ),
        KeyFile(listOf(KeyEntry(sha256Hex("org"), organisation = "studio"), KeyEntry(sha256Hex("op"), operator = "maarja"))),
        peerSecret = "a secret of the instances".toByteArray(),
        platformLog = log,
    )

    @AfterEach
    fun close() {
        node.close()
        list.stop()
    }

    private fun call(path: String, key: String, body: String? = null): Pair<Int, String> {
        val request = okhttp3.Request.Builder().url(
            "http://127.0.0.1:${node.httpPort}$path",
        ).header("Authorization", "Bearer $key")
        if (body != null) request.post(body.toRequestBody())
        return client.newCall(request.build()).execute().use { it.code to it.body.string() }
    }

    // Guards against an instance that cannot confirm its configuration, but reports that it is ready or accepts work.
    @Test
    fun `an instance that loses the log and its peers is not ready and refuses work until the log is back`() {
        node.start()
        await("ready") { call("/readyz", "").first == 200 }
        log.isDown = true
        await("not ready") { call("/readyz", "").first == 503 }
        val refused = call("/v1/completions", "org", """{"model":"menu","prompt":"a note"}""")
        expectThat(refused.first).isEqualTo(503)
        expectThat(refused.second).contains("config_unconfirmed")
        expectThat(call("/admin/v1/audit", "op").second).contains("\"freshness\":\"cut_off\"")
        log.isDown = false
        await("ready again") { call("/readyz", "").first == 200 }
        expectThat(call("/v1/completions", "org", """{"model":"menu","prompt":"a note"}""").second).contains("no_upstream")
    }

    // Guards against documented counters that are missing from the page because no component publishes them.
    @Test
    fun `the metrics page shows the counters of engine calls and of claims`() {
        node.start()
        val page = call("/metrics", "").second
        expectThat(
            page,
        ).contains("godwitwick_engine_events_total{event=\"wrong_request_id\"}").contains("godwitwick_claim_gaps_total")
    }
}
