package org.godwitwick.lab

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.godwitwick.lab.process.await
import org.godwitwick.node.entry.EntryNode
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.list.FakeInstanceList
import org.godwitwick.standins.log.FakeLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo

/** Tests completions from the caller to a fake engine through one entry node. */
class EndToEndTest {
    @Test
    fun `a streamed completion reaches the caller completely`() {
        withNode { port ->
            val answer = complete(port, """{"model":"menu","prompt":"a note","max_tokens":3,"stream":true}""")
            expectThat(answer).contains("t0").contains("t2").endsWith("data: [DONE]\n\n")
        }
    }

    @Test
    fun `a completion without a key is refused`() {
        withNode { port ->
            val request = Request.Builder().url("http://127.0.0.1:$port/v1/completions").post("{}".toRequestBody()).build()
            OkHttpClient().newCall(request).execute().use { expectThat(it.code).isEqualTo(401) }
        }
    }

    private fun complete(port: Int, body: String): String {
        val request = Request.Builder()
            .url("http://127.0.0.1:$port/v1/completions")
            .header("Authorization", "Bearer test-key")
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        return OkHttpClient().newCall(request).execute().use { it.body.string() }
    }

    private fun withNode(action: (Int) -> Unit) {
        FakeEngine(0, timeScale = 20.0).use { engine ->
            FakeLog(0).use { log ->
                FakeInstanceList(0).use { list ->
                    list.set(listOf(engineRow(engine.address)))
                    EntryNode(settings(list.address, log.address), keys).use { node ->
                        node.start()
                        await("ready") { node.readiness.reasons.isEmpty() }
                        action(node.httpPort)
                    }
                }
            }
        }
    }

    private fun engineRow(address: String) = buildJsonObject {
        put("id", "engine-1")
        put("kind", "engine")
        put("name", "menu")
        put("address", address)
        put("region", "tn-north")
        put("data_centre", "tn-north-a")
    }

    private fun settings(listAddress: String, logAddress: String) = NodeSettings(
        instanceId = "entry-1",
        region = "tn-north",
        dataCentre = "tn-north-a",
        httpPort = 0,
        keysFile = "keys.json",
        logUrl = "http://$logAddress",
        instanceListUrl = "http://$listAddress",
    )

    private val keys = KeyFile(listOf(KeyEntry(sha256Hex("test-key"), organisation = "caterer")))
}
