package org.godwitwick.lab.mixed

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/** The parts of `lab mixed`, without the history of the repository. */
class MixedRunTest {
    @TempDir
    lateinit var folder: Path

    // Guards against plans that leave an instance out, or that do not end with the earlier version everywhere.
    @Test
    fun `every instance gets the current version and then the earlier one`() {
        (2..6).forEach { size ->
            val plan = ReplacementPlan.of(size, Random(size))
            val forward = plan.takeWhile { (_, isEarlier) -> !isEarlier }
            expectThat(forward.map { it.first }.toSet()).isEqualTo((0 until ReplacementPlan.earlierAtFirst(size)).toSet())
            expectThat(plan.drop(forward.size).map { it.first }.sorted()).isEqualTo((0 until size).toList())
        }
    }

    // Guards against a failure of the command where CI has cloned the newest commit only.
    @Test
    fun `a commit that the clone does not have is reported in one line`() {
        val repository = Files.createDirectory(folder.resolve("repository"))
        ProcessBuilder("git", "init", "-q").directory(repository.toFile()).start().waitFor()
        val outcome = CommitBuilder(repository, folder.resolve("builds")).build("6093c7f")
        expectThat(outcome).isA<BuildOutcome.NoHistory>().get { reason }
            .isEqualTo("commit 6093c7f is not in the history of this clone")
    }

    // Guards against a command that no longer works when it is needed, and against stops of instances that break a promise.
    @Test
    @Timeout(180)
    fun `a small fleet of one version is replaced without a broken promise`() {
        val build = InstanceBuild("current", listOf("-cp", System.getProperty("java.class.path"), MAIN))
        val result = MixedRun(build, build, size = 2, paceMs = 500, seed = 1, folder).play()
        expectThat(result.breaches).isEqualTo(emptyList())
        expectThat(result.kills).isEqualTo(0)
        // Of the two instances, one reaches no upstream, so nothing is served while the other one is replaced.
        expectThat(result.relayed).isGreaterThan(0)
        expectThat(result.served).isGreaterThan(result.relayed)
        expectThat(Files.readString(folder.resolve("run.txt"))).contains("broken promises: none")
    }

    private companion object {
        const val MAIN = "org.godwitwick.platform.PlatformMainKt"
    }
}
