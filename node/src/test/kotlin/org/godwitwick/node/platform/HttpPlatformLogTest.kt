package org.godwitwick.node.platform

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.godwitwick.standins.log.FakeLog
import org.godwitwick.standins.log.LogFaults
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class HttpPlatformLogTest {
    private val client = OkHttpClient()

    private fun withLog(action: (FakeLog, HttpPlatformLog) -> Unit) = FakeLog(0, nowMs = { 7 }).use { fake ->
        action(fake, HttpPlatformLog(client, "http://${fake.address}", readTimeoutMs = 5_000))
    }

    private fun HttpPlatformLog.append(text: String) = append("claims-x-1", text.toByteArray(), 5_000)

    /** Guards against content, offsets or times that are altered in transfer. */
    @Test
    fun `records are read as they were appended`() = withLog { fake, log ->
        expectThat(listOf(log.append("a").get(), log.append("b").get())).isEqualTo(listOf(0L, 1L))
        val page = checkNotNull(log.read("claims-x-1", 1, 10, 0).get())
        expectThat(page.endOffset to page.earliestOffset).isEqualTo(2L to 0L)
        expectThat(
            page.records.map {
                Triple(it.offset, it.timeMs, it.data.decodeToString())
            },
        ).isEqualTo(listOf(Triple(1L, 7L, "b")))
        fake.retainNewest(1)
        expectThat(log.read("claims-x-1", 0, 10, 0).get()?.earliestOffset).isEqualTo(1L)
    }

    /**
     * Guards against an append that is reported as not applied although it took effect, and against a retry inside the adapter.
     */
    @Test
    fun `after a lost answer or a server error the outcome is unknown and the append was sent once`() = withLog { fake, log ->
        fake.setFaults(LogFaults(loseAnswers = 1))
        expectThat(log.append("a").getError()).isA<LogFailure.Unknown>()
        expectThat(fake.appends).isEqualTo(1)
        fake.setFaults(LogFaults(outage = true))
        expectThat(log.append("b").getError()).isA<LogFailure.Unknown>()
        fake.setFaults(LogFaults(delayAppends = 1))
        expectThat(log.append("c").getError()).isA<LogFailure.Unknown>()
        expectThat(fake.appends to fake.delayedAppends).isEqualTo(1L to 1)
    }

    /** Guards against a claim that counts as possibly appended although the log refused it. */
    @Test
    fun `after a refusal, a rate limit or a refused connection the append is not applied`() = withLog { fake, log ->
        fake.setFaults(LogFaults(refuseAppends = true))
        expectThat(log.append("a").getError()).isA<LogFailure.NotApplied>()
        fake.setFaults(LogFaults(appendsPerSecond = 0))
        expectThat(log.append("a").getError()).isEqualTo(LogFailure.NotApplied("log answered status 429", 1_000))
        val unreachable = HttpPlatformLog(client, "http://127.0.0.1:1")
        expectThat(unreachable.append("a").getError()).isA<LogFailure.NotApplied>()
        expectThat(fake.appends).isEqualTo(0)
    }

    /** Guards against a fault switch that other processes cannot use. */
    @Test
    fun `faults can be switched on over HTTP`() = withLog { fake, log ->
        val request = Request.Builder().url(
            "http://${fake.address}/faults",
        ).post("""{"refuseAppends":true}""".toRequestBody()).build()
        client.newCall(request).execute().close()
        expectThat(log.append("a").getError()).isA<LogFailure.NotApplied>()
    }
}
