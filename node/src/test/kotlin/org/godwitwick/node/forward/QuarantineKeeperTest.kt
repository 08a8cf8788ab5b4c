package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.health.RequestTrait
import org.godwitwick.core.health.TraitRow
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.LinkedBlockingQueue

@Timeout(30)
class QuarantineKeeperTest {
    private val row = TraitRow(RequestTrait.ofPart("5c1e"), mapOf("engine-1" to 10L))
    private val read = LinkedBlockingQueue<List<TraitRow>>()
    private val written = LinkedBlockingQueue<List<TraitRow>>()
    private val failures = ArrayDeque<FeedFailure>()
    private val store = object : QuarantineStore {
        override fun read(wallMs: Long): Result<List<TraitRow>, FeedFailure> =
            failures.removeFirstOrNull()?.let { Err(it) } ?: Ok(listOf(row))

        override fun write(rows: List<TraitRow>, wallMs: Long): Result<Unit, FeedFailure> =
            failures.removeFirstOrNull()?.let { Err(it) } ?: Ok(written.put(rows))
    }
    private val keeper = QuarantineKeeper(store, { listOf(row) }, read::put, wallMs = { 0 }, retryMs = 1)

    // Guards against a quarantine that is lost because the store was away at the moment at which it was to be read or stored.
    @Test
    fun `what the store refuses at first is read and stored later`() {
        keeper.use {
            repeat(3) { failures += FeedFailure.Unreachable("down") }
            keeper.start()
            expectThat(read.take()).isEqualTo(listOf(row))
            failures += FeedFailure.Unreachable("down")
            keeper.save()
            expectThat(written.take()).isEqualTo(listOf(row))
        }
    }
}
