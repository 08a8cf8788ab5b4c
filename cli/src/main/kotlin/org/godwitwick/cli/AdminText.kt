package org.godwitwick.cli

import kotlinx.serialization.json.Json
import org.godwitwick.core.config.PublicationOutcome
import org.godwitwick.node.admin.AuditAnswer
import org.godwitwick.node.admin.ConfigAnswer
import org.godwitwick.node.admin.EntryView
import org.godwitwick.node.admin.HistoryAnswer
import org.godwitwick.node.admin.PublishAnswer
import org.godwitwick.node.admin.PublishFailure
import org.godwitwick.node.admin.UpstreamsAnswer
import java.time.Instant

/** Formats answers of the administration API as readable text. */
object AdminText {
    // An instance of a newer version may send additional fields.
    private val lenientJson = Json { ignoreUnknownKeys = true }

    fun config(body: String): String {
        val answer = lenientJson.decodeFromString(ConfigAnswer.serializer(), body)
        return buildString {
            appendLine("offset ${answer.appliedOffset}, ${answer.freshness}")
            appendLine("defaults:")
            answer.defaults.forEach { appendLine("  ${entryLine(it)}") }
            appendLine("exceptions:")
            answer.exceptions.forEach { appendLine("  ${entryLine(it)}") }
        }
    }

    fun history(body: String): String {
        val answer = lenientJson.decodeFromString(HistoryAnswer.serializer(), body)
        return answer.history.joinToString("\n") { entry ->
            val publication = entry.publication
            val outcome = when (entry.outcome) {
                PublicationOutcome.Accepted -> "accepted"
                is PublicationOutcome.Conflict -> "conflict"
                is PublicationOutcome.Invalid -> "invalid"
            }
            val changes = publication.changes.joinToString("") { "\n    ${it.name} in ${it.scope} = ${it.value ?: "removed"}" }
            "${entry.offset} ${Instant.ofEpochMilli(entry.timeMs)} $outcome ${publication.id} by ${publication.author}: " +
                publication.reason + changes
        }
    }

    fun upstreams(body: String): String =
        lenientJson.decodeFromString(UpstreamsAnswer.serializer(), body).upstreams.joinToString("\n") {
            "${it.kind} ${it.name} ${it.id} ${it.address} ${it.region}/${it.dataCentre}/${it.rack} ${it.state}"
        }

    fun audit(body: String): String {
        val answer = lenientJson.decodeFromString(AuditAnswer.serializer(), body)
        return buildString {
            appendLine("configuration at offset ${answer.appliedOffset}, ${answer.freshness}")
            appendLine("defaults:")
            answer.defaults.forEach { appendLine("  ${entryLine(it)}") }
            appendLine("exceptions:")
            answer.exceptions.forEach {
                appendLine("  ${entryLine(it.exception)}")
                appendLine("    in place of ${it.replacedDefault}; reason: ${it.exception.reason}")
            }
            appendLine("instances not at the newest version: ${answer.notAtNewest.size}")
            answer.notAtNewest.forEach {
                appendLine("  ${it.id} ${it.dataCentre} ${it.state} at ${it.appliedOffset ?: "unknown"}")
            }
        }
    }

    fun published(body: String): String {
        val answer = lenientJson.decodeFromString(PublishAnswer.serializer(), body)
        val missing = if (answer.notConfirmed.isEmpty()) "" else "; not confirmed on ${answer.notConfirmed.joinToString()}"
        return "${answer.id} accepted at offset ${answer.offset}, in force on ${answer.inForce.size} instances$missing"
    }

    fun failure(status: Int, body: String): String = try {
        val failure = lenientJson.decodeFromString(PublishFailure.serializer(), body)
        val conflicts = failure.conflicts.joinToString("") {
            "\n  ${it.name} in ${it.scope}: version ${it.actualVersion}, expected ${it.expectedVersion}, " +
                "changed by ${it.changedBy ?: "nobody"} in ${it.changedByPublication ?: "none"}"
        }
        "${failure.error.kind}: ${failure.error.message}$conflicts${failure.faults.joinToString("") { "\n  $it" }}"
    } catch (_: IllegalArgumentException) {
        "status $status"
    }

    fun kindOf(body: String): String? = try {
        lenientJson.decodeFromString(PublishFailure.serializer(), body).error.kind
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun entryLine(entry: EntryView): String {
        val author = entry.author ?: return "${entry.name} = ${entry.value} (${entry.unit}), built in"
        val at = entry.atMs?.let { Instant.ofEpochMilli(it) }
        return "${entry.name} in ${entry.scope} = ${entry.value} (${entry.unit}), version ${entry.version}, by $author at $at"
    }
}
