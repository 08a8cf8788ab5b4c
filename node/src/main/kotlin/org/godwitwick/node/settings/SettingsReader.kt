package org.godwitwick.node.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** One fault in a settings file: the [value] of [field] is not what was [expected]. */
data class SettingsFault(val file: String, val field: String, val value: String, val expected: String) {
    override fun toString(): String = "$file: $field: $value is not valid, expected $expected"
}

/** Reads and validates the settings in [path]; the error lists all faults. */
fun readNodeSettings(path: Path): Result<NodeSettings, List<SettingsFault>> =
    readChecked(path, NodeSettings.serializer(), SAMPLE_SETTINGS) { faults(path.toString()) }

/** Reads and validates the key file in [path]; the error lists all faults and contains no key. */
fun readKeyFile(path: Path): Result<KeyFile, List<SettingsFault>> =
    readChecked(path, KeyFile.serializer(), KeyFile(emptyList())) { faults(path.toString()) }

/** Reads the shared secret of the instances from [path]; the error does not contain it. */
fun readPeerSecret(path: Path): Result<ByteArray, List<SettingsFault>> = textOf(path).flatMap { text ->
    val secret = text.trim().toByteArray()
    if (secret.size >= MIN_SECRET_BYTES) return@flatMap Ok(secret)
    Err(
        listOf(
            SettingsFault(path.toString(), "(content)", "a secret of ${secret.size} bytes", "at least $MIN_SECRET_BYTES bytes"),
        ),
    )
}

/** Reads [path] as JSON with comments, at most [MAX_SETTINGS_BYTES]; the error lists all unknown, missing and mistyped fields. */
fun <T> readJsonFile(path: Path, type: KSerializer<T>): Result<T, List<SettingsFault>> = jsonOf(path).flatMap { element ->
    val faults = structureFaults(path.toString(), element, type.descriptor)
    if (faults.isEmpty()) decoded(path, element, type) else Err(faults)
}

/** Largest accepted size of a settings file, in bytes. */
const val MAX_SETTINGS_BYTES = 256 * 1024L

private fun <T> readChecked(
    path: Path,
    type: KSerializer<T>,
    sample: T,
    check: T.() -> List<SettingsFault>,
): Result<T, List<SettingsFault>> {
    val element = jsonOf(path).getOrElse { return Err(it) }
    val structure = structureFaults(path.toString(), element, type.descriptor)
    if (structure.isEmpty()) {
        val value = decoded(path, element, type).getOrElse { return Err(it) }
        val faults = value.check()
        return if (faults.isEmpty()) Ok(value) else Err(faults)
    }
    // Validates the values of the other fields too, with sample values in place of the faulty fields.
    val faultyNames = structure.mapTo(HashSet()) { it.field.substringBefore('.').substringBefore('[') }
    val validFields = (element as? JsonObject ?: return Err(structure)).filterKeys { it !in faultyNames }
    val patched = JsonObject((commentedJson.encodeToJsonElement(type, sample) as JsonObject) + validFields)
    val value = decoded(path, patched, type).getOrElse { return Err(structure) }
    return Err(structure + value.check().filter { it.field.substringBefore('[') in validFields.keys })
}

private fun <T> decoded(path: Path, element: JsonElement, type: KSerializer<T>): Result<T, List<SettingsFault>> = try {
    Ok(commentedJson.decodeFromJsonElement(type, element))
} catch (_: IllegalArgumentException) {
    Err(listOf(SettingsFault(path.toString(), "(content)", "a value", "values of the documented types")))
}

private fun jsonOf(path: Path): Result<JsonElement, List<SettingsFault>> = textOf(path).flatMap { text ->
    try {
        Ok(commentedJson.parseToJsonElement(text))
    } catch (e: IllegalArgumentException) {
        // The message of the parser quotes the text, which may contain a key, so only the position is reported.
        val position = POSITION_PATTERN.find(e.message ?: "")?.value ?: "unknown position"
        Err(listOf(SettingsFault(path.toString(), "(content)", "text at $position", "valid JSON with comments")))
    }
}

private fun textOf(path: Path): Result<String, List<SettingsFault>> {
    val file = path.toString()
    return try {
        if (Files.size(path) > MAX_SETTINGS_BYTES) {
            Err(listOf(SettingsFault(file, "(file)", "size ${Files.size(path)} bytes", "at most $MAX_SETTINGS_BYTES bytes")))
        } else {
            Ok(Files.readString(path))
        }
    } catch (e: IOException) {
        Err(listOf(SettingsFault(file, "(file)", "unreadable", "a readable file: ${e.javaClass.simpleName}")))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private val commentedJson = Json {
    allowComments = true
    allowTrailingComma = true
}
private val POSITION_PATTERN = Regex("offset \\d+")
private const val MIN_SECRET_BYTES = 16
private val SAMPLE_SETTINGS = NodeSettings(
    instanceId = "sample",
    region = "sample",
    dataCentre = "sample",
    httpPort = 0,
    keysFile = "sample",
    logUrl = "http://sample",
    instanceListUrl = "http://sample",
)
