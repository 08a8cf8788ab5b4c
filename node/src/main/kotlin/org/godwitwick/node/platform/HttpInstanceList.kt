package org.godwitwick.node.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.godwitwick.core.model.ListedInstance
import java.io.IOException

/** Reads the instance list over HTTP with `GET {url}/instances`. */
class HttpInstanceList(private val client: OkHttpClient, private val url: String) : InstanceList {
    @Serializable
    private data class ListAnswer(val instances: List<ListedInstance>)

    override fun read(): Result<List<ListedInstance>, String> = try {
        client.newCall(Request.Builder().url("$url/instances").build()).execute().use { response ->
            if (response.isSuccessful) {
                Ok(lenientJson.decodeFromString<ListAnswer>(response.body.string()).instances)
            } else {
                Err("instance list answered status ${response.code}")
            }
        }
    } catch (e: IOException) {
        Err("instance list not reached: ${e.message}")
    } catch (e: IllegalArgumentException) {
        Err("cannot parse the answer of the instance list: ${e.message}")
    }

    private companion object {
        // The platform may add fields that this version does not use.
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
