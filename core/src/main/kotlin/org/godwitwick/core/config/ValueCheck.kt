package org.godwitwick.core.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** Returns the faults of [value] as a value of this type. [ConfigFault.field] is relative to the value. */
fun FieldType.faultsOf(value: JsonElement): List<ConfigFault> = when (this) {
    is FieldType.Integer -> numberFault(value, "a whole number from $min to $max") {
        it.toLongOrNull()?.let { n -> n in min..max }
    }

    is FieldType.Fraction -> numberFault(value, "a number from $min to $max") { it.toDoubleOrNull()?.let { n -> n in min..max } }

    FieldType.Routes -> routeFaults(value)
}

/** Returns the declared routes of the service in [subject]. */
fun ConfigView.routes(subject: ConfigSubject): List<ServiceRoute> =
    Json.decodeFromString(text(ConfigField.SERVICE_ROUTES, subject))

private fun numberFault(value: JsonElement, expected: String, isInRange: (String) -> Boolean?): List<ConfigFault> {
    val isValid = value is JsonPrimitive && !value.isString && isInRange(value.content) == true
    return if (isValid) emptyList() else listOf(ConfigFault("", value.toString().take(MAX_SHOWN_CHARS), expected))
}

private fun routeFaults(value: JsonElement): List<ConfigFault> {
    val routes = try {
        Json.decodeFromJsonElement(ROUTES, value)
    } catch (_: SerializationException) {
        return listOf(ConfigFault("", value.toString().take(MAX_SHOWN_CHARS), "a list of {method, pathPrefix, idempotent}"))
    } catch (_: IllegalArgumentException) {
        return listOf(ConfigFault("", value.toString().take(MAX_SHOWN_CHARS), "a list of {method, pathPrefix, idempotent}"))
    }
    return buildList {
        routes.forEachIndexed { i, route ->
            if (route.method !in METHODS) add(ConfigFault("[$i].method", route.method, "one of ${METHODS.joinToString()}"))
            if (!route.pathPrefix.startsWith(
                    "/",
                )
            ) {
                add(ConfigFault("[$i].pathPrefix", route.pathPrefix, "a path with a leading slash"))
            }
        }
        routes.groupBy { it.method to it.pathPrefix }.filterValues { it.size > 1 }.keys.forEach { (method, prefix) ->
            add(ConfigFault("", "$method $prefix twice", "at most one declaration per route"))
        }
    }
}

private val ROUTES = kotlinx.serialization.builtins.ListSerializer(ServiceRoute.serializer())
private val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
private const val MAX_SHOWN_CHARS = 120
