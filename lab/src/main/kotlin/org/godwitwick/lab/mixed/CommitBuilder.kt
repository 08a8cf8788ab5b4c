package org.godwitwick.lab.mixed

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.absolutePathString

/** A version of the instance; [javaArguments] select its main class. */
data class InstanceBuild(val name: String, val javaArguments: List<String>) {
    companion object {
        /** The version whose packaged files lie in [root]. */
        fun packaged(name: String, root: Path) = InstanceBuild(
            name,
            listOf("-jar", root.resolve("target/platform/godwitwick-platform-0.1.0.jar").absolutePathString()),
        )
    }
}

/** What has become of the build of a commit. */
sealed class BuildOutcome {
    data class Built(val build: InstanceBuild) : BuildOutcome()

    /** The clone is shallow or does not have the commit. */
    data class NoHistory(val reason: String) : BuildOutcome()

    data class Failed(val reason: String) : BuildOutcome()
}

/** Builds earlier versions from the history of [repository] in sub-folders of [folder], offline. */
class CommitBuilder(private val repository: Path, private val folder: Path) {
    /** Builds [commit], unless an earlier call has. */
    fun build(commit: String): BuildOutcome {
        val (code, hash) = run(repository, "git", "rev-parse", "--verify", "--quiet", "$commit^{commit}")
        if (code != 0) return BuildOutcome.NoHistory("commit $commit is not in the history of this ${kindOfClone()}")
        val target = folder.resolve(hash.trim())
        if (Files.exists(target.resolve(DONE))) return built(commit, target)
        Files.createDirectories(folder)
        val steps = listOf(
            folder to listOf("git", "clone", "-q", "--no-checkout", repository.absolutePathString(), target.absolutePathString()),
            folder to listOf("git", "-C", target.absolutePathString(), "checkout", "-q", "--detach", hash.trim()),
            target to PACKAGE,
        )
        steps.forEach { (directory, command) ->
            val (status, output) = run(directory, *command.toTypedArray())
            if (status != 0) {
                return BuildOutcome.Failed(
                    "${command.take(2).joinToString(" ")} ended with $status: ${output.takeLast(MAX_OUTPUT)}",
                )
            }
        }
        Files.createFile(target.resolve(DONE))
        return built(commit, target)
    }

    private fun built(commit: String, target: Path) = BuildOutcome.Built(InstanceBuild.packaged(commit, target))

    private fun kindOfClone(): String {
        val (_, answer) = run(repository, "git", "rev-parse", "--is-shallow-repository")
        return if (answer.trim() == "true") "shallow clone" else "clone"
    }

    private fun run(directory: Path, vararg command: String): Pair<Int, String> {
        val output = Files.createTempFile("lab-build-", ".log")
        val process = ProcessBuilder(*command).directory(directory.toFile())
            .redirectErrorStream(true).redirectOutput(output.toFile()).start()
        val isOver = process.waitFor(BUILD_TIMEOUT_S, TimeUnit.SECONDS)
        if (!isOver) process.destroyForcibly().waitFor()
        val text = Files.readString(output)
        Files.delete(output)
        return process.exitValue() to text
    }

    private companion object {
        const val DONE = "built"
        const val BUILD_TIMEOUT_S = 600L
        const val MAX_OUTPUT = 2_000
        val PACKAGE = listOf("mvn", "-B", "-ntp", "-o", "-q", "-DskipTests", "-Dktlint.skip", "-pl", "platform", "-am", "package")
    }
}
