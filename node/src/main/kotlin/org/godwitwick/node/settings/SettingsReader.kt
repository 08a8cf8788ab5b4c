package org.godwitwick.node.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** One fault in a settings file. */
data class SettingsFault(val file: String, val field: String, val value: String, val expected: String) {
    override fun toString(): String = "$file: $field: $value is not valid, expected $expected"
}

/** Reads [path] as JSON with comments, up to [MAX_SETTINGS_BYTES]. */
@OptIn(ExperimentalSerializationApi::class)
fun <T> readJsonFile(path: Path, type: DeserializationStrategy<T>): Result<T, List<SettingsFault>> {
    val file = path.toString()
    return try {
        if (Files.size(path) > MAX_SETTINGS_BYTES) {
            Err(listOf(SettingsFault(file, "(file)", "size ${Files.size(path)} bytes", "at most $MAX_SETTINGS_BYTES bytes")))
        } else {
            Ok(commentedJson.decodeFromString(type, Files.readString(path)))
        }
    } catch (e: IOException) {
        Err(listOf(SettingsFault(file, "(file)", "unreadable", "a readable file: ${e.message}")))
    } catch (e: IllegalArgumentException) {
        Err(listOf(SettingsFault(file, "(content)", "unreadable", e.message?.lineSequence()?.first() ?: "valid JSON")))
    }
}

/** Largest accepted settings file. */
const val MAX_SETTINGS_BYTES = 256 * 1024L

@OptIn(ExperimentalSerializationApi::class)
private val commentedJson = Json {
    allowComments = true
    allowTrailingComma = true
}

/** Smallest accepted shared secret of the instances. */
const val MIN_SECRET_BYTES = 16

/** Reads the shared secret of the instances from [path]; white space at its ends doesn't count. */
fun readSecret(path: Path): Result<ByteArray, List<SettingsFault>> = try {
    val secret = Files.readString(path).trim().toByteArray()
    if (secret.size >= MIN_SECRET_BYTES) {
        Ok(secret)
    } else {
        Err(listOf(SettingsFault(path.toString(), "(content)", "${secret.size} bytes", "at least $MIN_SECRET_BYTES bytes")))
    }
} catch (_: IOException) {
    Err(listOf(SettingsFault(path.toString(), "(file)", "unreadable", "a readable file")))
}
