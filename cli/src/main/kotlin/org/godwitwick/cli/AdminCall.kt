package org.godwitwick.cli

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.godwitwick.node.upstream.noRetryClientBuilder
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit

/** Options of all commands that use the administration API. */
class AdminOptions {
    @Option(
        names = ["--url"],
        required = true,
        paramLabel = "URL",
        description = ["URL of any entry instance, such as http://10.10.1.1:8080."],
    )
    lateinit var url: String

    // The key is read from a file to keep it out of process lists and shell histories.
    @Option(names = ["--key-file"], required = true, paramLabel = "FILE", description = ["File with the operator's key."])
    lateinit var keyFile: Path

    @Option(names = ["--json"], description = ["Print the answer as JSON."])
    var isJson: Boolean = false
}

/** Answer of the administration API: HTTP status and body. */
class AdminAnswer(val status: Int, val body: String)

/** Base class of commands that make one call to the administration API. */
abstract class AdminCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    /** Sends a GET of [path] and returns the answer; throws [IOException] if there is no answer. */
    protected fun get(path: String): AdminAnswer = send(request(path).build())

    /** Sends a POST of [body] to [path] and returns the answer; throws [IOException] if there is no answer. */
    protected fun post(path: String, body: String): AdminAnswer =
        send(request(path).post(body.toRequestBody("application/json".toMediaType())).build())

    /** Prints the answer to a GET of [path], as JSON if requested and formatted by [format] otherwise; returns the exit code. */
    protected fun show(path: String, format: (String) -> String): Int = reportingErrors {
        val answer = get(path)
        if (answer.status != STATUS_OK) return@reportingErrors reportRefusal(answer)
        println(if (options.isJson) answer.body else format(answer.body).trimEnd())
        ExitCodes.OK
    }

    /** Runs [action] and returns its exit code. A failed connection or an invalid answer is printed to standard error. */
    protected fun reportingErrors(action: () -> Int): Int = try {
        action()
    } catch (e: IOException) {
        System.err.println("not reached: ${e.message}")
        ExitCodes.FAILED
    } catch (e: IllegalArgumentException) {
        System.err.println("invalid request or answer: ${e.message}")
        ExitCodes.FAILED
    }

    /** Prints a refusal to standard error and returns its exit code. */
    protected fun reportRefusal(answer: AdminAnswer): Int {
        System.err.println(if (options.isJson) answer.body else AdminText.failure(answer.status, answer.body))
        return when (answer.status) {
            STATUS_CONFLICT -> if (AdminText.kindOf(answer.body) == "conflict") ExitCodes.CONFLICT else ExitCodes.UNKNOWN
            STATUS_BAD_REQUEST, STATUS_TOO_LARGE -> ExitCodes.INVALID
            STATUS_BAD_GATEWAY -> ExitCodes.UNKNOWN
            else -> ExitCodes.FAILED
        }
    }

    private fun request(path: String) = Request.Builder()
        .url(options.url.trimEnd('/') + path)
        .header("Authorization", "Bearer ${Files.readString(options.keyFile).trim()}")

    private fun send(request: Request): AdminAnswer = client.newCall(request).execute().use {
        AdminAnswer(it.code, it.body.string())
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_CONFLICT = 409
        const val STATUS_TOO_LARGE = 413
        const val STATUS_BAD_GATEWAY = 502

        // A publication is answered after the log and all instances have confirmed it, which may exceed OkHttp's default of 10 s.
        const val ANSWER_TIMEOUT_S = 60L
        val client = noRetryClientBuilder()
            .readTimeout(ANSWER_TIMEOUT_S, TimeUnit.SECONDS)
            .build()
    }
}

/** Exit codes of the commands. */
object ExitCodes {
    const val OK = 0
    const val FAILED = 1
    const val INVALID = 2
    const val CONFLICT = 3
    const val UNKNOWN = 4
}
