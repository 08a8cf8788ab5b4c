package org.godwitwick.standins

import org.godwitwick.standins.run.EngineStandin
import org.godwitwick.standins.run.ListStandin
import org.godwitwick.standins.run.Location
import org.godwitwick.standins.run.RunningSet
import org.godwitwick.standins.run.StandinSet
import org.godwitwick.standins.weights.FakeWeightStore
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.startsWith
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers

class StandinSetTest {
    private val engine = EngineStandin("engine-1", "menu", Location("tn-north", "tn-north-a"))

    /** Guards against a set whose instance list does not contain its engines. */
    @Test
    fun `the instance list of a set contains its engines and the ready line their addresses`() {
        RunningSet(StandinSet(listOf(ListStandin(), engine))).use { set ->
            expectThat(set.readyLine).startsWith("ready {\"list\":\"127.0.0.1:")
            val addresses = Regex("127\\.0\\.0\\.1:\\d+").findAll(set.readyLine).map { it.value }.toList()
            val list = get("http://${addresses[0]}/instances").body()
            expectThat(list).contains("\"address\":\"${addresses[1]}\"").contains("\"data_centre\":\"tn-north-a\"")
        }
    }

    /** Guards against servers that keep running when another stand-in of the set fails to start. */
    @Test
    fun `a set in which one stand-in fails to start stops the others`() {
        RunningSet(StandinSet(listOf(ListStandin()))).use { occupied ->
            val usedPort = portOf(occupied.readyLine)
            val freePort = RunningSet(StandinSet(listOf(ListStandin()))).use { portOf(it.readyLine) }
            expectThrows<RuntimeException> {
                RunningSet(StandinSet(listOf(ListStandin("first", freePort), ListStandin("second", usedPort))))
            }
            expectThat(runCatching { get("http://127.0.0.1:$freePort/instances") }).isFailure()
        }
    }

    /** Guards against a stand-in without the load rate limit with which the product has to cope. */
    @Test
    fun `the weight store refuses loads over its rate limit and accepts them a minute later`() {
        var now = 0L
        FakeWeightStore(0, loadsPerMinute = 2, weightBytes = 7, nowMs = { now }).use { store ->
            val url = "http://${store.address}/weights/menu/3"
            repeat(2) { expectThat(get(url).body().length).isEqualTo(7) }
            now = 20_000
            val refused = get(url)
            expectThat(refused.statusCode()).isEqualTo(429)
            expectThat(refused.headers().firstValue("Retry-After").get()).isEqualTo("40")
            now = 60_000
            expectThat(get(url).statusCode()).isEqualTo(200)
            expectThat(get("http://${store.address}/weights/menu").statusCode()).isEqualTo(404)
        }
    }

    private fun portOf(readyLine: String): Int = Regex(":(\\d+)\"").find(readyLine)!!.groupValues[1].toInt()

    private fun get(url: String): HttpResponse<String> =
        HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI(url)).build(), BodyHandlers.ofString())
}
