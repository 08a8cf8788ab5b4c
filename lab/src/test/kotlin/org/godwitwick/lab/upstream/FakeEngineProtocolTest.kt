package org.godwitwick.lab.upstream

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.engine.prefixHashes
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.io.IOException

/** Guards against a stand-in engine without the documented endpoints and faults on which the lab relies. */
class FakeEngineProtocolTest {
    private val http = client(2_000)
    private val prompt = "s".repeat(4_096 * 3)

    @Test
    fun `cache events are delayed and have gaps, and cached blocks are exported and imported`() {
        FakeEngine(0, timeScale = 100.0, cacheEventGapEvery = 2).use { engine ->
            post(engine, "/v1/generate", """{"request_id":"r","prompt":"$prompt","max_tokens":1}""")
            val hashes = prefixHashes(prompt)
            await("cache event 2 is published") { "\"seq\":2" in get(engine, "/v1/cache-events?from=1") }
            val events = get(engine, "/v1/cache-events?from=0")
            expectThat(hashes.map { it in events }).isEqualTo(listOf(true, false, true))
            val exported = post(engine, "/v1/kv/export", """{"prompt":"$prompt"}""")
            FakeEngine(0).use { other ->
                expectThat(post(other, "/v1/kv/import", exported)).contains("\"stored\":3")
                expectThat(post(other, "/v1/kv/export", """{"prompt":"$prompt"}""")).isEqualTo(exported)
            }
        }
        FakeEngine(0, timeScale = 100.0, cacheEventDelayMs = 600_000).use { engine ->
            post(engine, "/v1/generate", """{"request_id":"r","prompt":"$prompt","max_tokens":1}""")
            expectThat(get(engine, "/v1/cache-events?from=0")).contains("\"events\":[]")
        }
    }

    @Test
    fun `the reported load lags and a restart changes the incarnation`() {
        FakeEngine(0, loadLagMs = 300).use { engine ->
            val before = get(engine, "/v1/load")
            engine.setLeaving(true)
            expectThat(get(engine, "/v1/load")).contains("\"leaving\":false")
            await("reported load shows that the engine is leaving") { "\"leaving\":true" in get(engine, "/v1/load") }
            post(engine, "/faults", """{"fault":"restart"}""")
            await("engine has restarted") { load(engine)?.let { it.take(50) != before.take(50) } == true }
            expectThat(engine.incarnation).isNotEqualTo(null)
        }
    }

    private fun load(engine: FakeEngine): String? = try {
        get(engine, "/v1/load")
    } catch (_: IOException) {
        null
    }

    private fun get(engine: FakeEngine, path: String): String =
        http.newCall(Request.Builder().url("http://${engine.address}$path").build()).execute().use { it.body.string() }

    private fun post(engine: FakeEngine, path: String, body: String): String =
        http.newCall(Request.Builder().url("http://${engine.address}$path").post(body.toRequestBody()).build()).execute()
            .use { it.body.string() }
}
