package org.godwitwick.node.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Compares the structure of [element] with [type] and returns all unknown fields, missing fields and values of a wrong type. The
 * faults contain no values, because a value may be a key in the wrong place.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun structureFaults(file: String, element: JsonElement, type: SerialDescriptor, path: String = ""): List<SettingsFault> {
    val shownPath = path.ifEmpty { "(content)" }
    if (element is JsonNull && type.isNullable) return emptyList()
    if (type.isInline) return structureFaults(file, element, type.getElementDescriptor(0), path)
    return when (type.kind) {
        StructureKind.CLASS -> {
            if (element !is JsonObject) return listOf(SettingsFault(file, shownPath, element.kindName(), "an object"))
            objectFaults(file, element, type, path)
        }

        StructureKind.LIST -> {
            if (element !is JsonArray) return listOf(SettingsFault(file, shownPath, element.kindName(), "a list"))
            element.flatMapIndexed { i, item -> structureFaults(file, item, type.getElementDescriptor(0), "$path[$i]") }
        }

        is PrimitiveKind -> if (element.fits(type.kind as PrimitiveKind)) {
            emptyList()
        } else {
            listOf(SettingsFault(file, shownPath, element.kindName(), expectedName(type.kind as PrimitiveKind)))
        }

        else -> emptyList()
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun objectFaults(file: String, element: JsonObject, type: SerialDescriptor, path: String): List<SettingsFault> =
    buildList {
        val prefix = if (path.isEmpty()) "" else "$path."
        val known = List(type.elementsCount) { type.getElementName(it) }
        (element.keys - known.toSet()).forEach {
            add(SettingsFault(file, prefix + it.take(MAX_NAME_CHARS), "an unknown field", "one of ${known.joinToString()}"))
        }
        known.forEachIndexed { i, name ->
            val value = element[name]
            if (value != null) {
                addAll(structureFaults(file, value, type.getElementDescriptor(i), prefix + name))
            } else if (!type.isElementOptional(i)) {
                add(SettingsFault(file, prefix + name, "a missing field", "a value"))
            }
        }
    }

private fun JsonElement.fits(kind: PrimitiveKind): Boolean {
    if (this !is JsonPrimitive || this is JsonNull) return false
    return when (kind) {
        PrimitiveKind.STRING -> isString
        PrimitiveKind.BOOLEAN -> !isString && content in setOf("true", "false")
        PrimitiveKind.INT -> !isString && content.toIntOrNull() != null
        PrimitiveKind.LONG -> !isString && content.toLongOrNull() != null
        else -> !isString && content.toDoubleOrNull() != null
    }
}

private fun expectedName(kind: PrimitiveKind) = when (kind) {
    PrimitiveKind.STRING -> "a string"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    else -> "a number"
}

private fun JsonElement.kindName() = when (this) {
    is JsonObject -> "an object"
    is JsonArray -> "a list"
    is JsonNull -> "null"
    is JsonPrimitive -> if (isString) "a string" else "a value of another type"
}

private const val MAX_NAME_CHARS = 64
