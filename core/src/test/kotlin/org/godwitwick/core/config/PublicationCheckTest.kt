package org.godwitwick.core.config

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class PublicationCheckTest {
    // Guards against reporting only one fault at a time to operators.
    @Test
    fun `all faults are reported at once with field, value and expectation`() {
        val faulty = Publication(
            id = "a b",
            author = "",
            atMs = 1,
            changes = listOf(
                change("admission.queueMax", 0, scope = "class:tiny"),
                change("admission.longShar", 1),
                change("claim.windowMs", 60_000, scope = "model:menu"),
                change("request.priority", 1.5, expected = -2),
            ),
        )
        expectThat(faultsOf(faulty).map { it.field }).containsExactly(
            "id",
            "author",
            "reason",
            "changes[0].scope",
            "changes[0].value",
            "changes[1].name",
            "changes[2].scope",
            "changes[3].expectedVersion",
            "changes[3].value",
        )
        expectThat(faultsOf(faulty)[4]).isEqualTo(
            ConfigFault("changes[0].value", "0", "a whole number from 1 to 100000 (requests)"),
        )
    }

    // Guards against routes that no call can match, and against routes declared both as idempotent and as not idempotent.
    @Test
    fun `each route is checked and duplicates are reported`() {
        val value = Json.parseToJsonElement(
            """[{"method":"FETCH","pathPrefix":"status","idempotent":true},
               {"method":"GET","pathPrefix":"/s","idempotent":true},{"method":"GET","pathPrefix":"/s","idempotent":false}]""",
        )
        expectThat(FieldType.Routes.faultsOf(value).map { it.field }).containsExactly("[0].method", "[0].pathPrefix", "")
        expectThat(
            FieldType.Routes.faultsOf(Json.parseToJsonElement("[{\"method\":\"GET\"}]")).map {
                it.field
            },
        ).containsExactly("")
    }

    // Guards against exceptions that an auditor cannot explain.
    @Test
    fun `a reason is required for exceptions but not for defaults`() {
        val exception = publication("a", change(QUEUE, 5, scope = "class:long"), reason = " ")
        expectThat(faultsOf(exception).map { it.field }).containsExactly("reason")
        expectThat(faultsOf(publication("a", change(QUEUE, 5), reason = ""))).isEmpty()
    }

    // Guards against an exception for a model taking precedence over one for an organisation.
    @Test
    fun `the most specific entry takes precedence`() {
        val fold = foldOf(
            listOf(
                published(
                    0,
                    publication(
                        "a",
                        change("request.timeoutMs", 1_000),
                        change("request.timeoutMs", 2_000, scope = "model:menu"),
                    ),
                ),
                published(1, publication("b", change("request.timeoutMs", 3_000, scope = "organisation:caterer"))),
            ),
        )
        val view = PublishedConfig(fold.state)
        expectThat(view.integer(ConfigField.TIMEOUT_MS)).isEqualTo(1_000)
        expectThat(view.integer(ConfigField.TIMEOUT_MS, ConfigSubject(model = "menu"))).isEqualTo(2_000)
        expectThat(view.integer(ConfigField.TIMEOUT_MS, ConfigSubject("caterer", "menu"))).isEqualTo(3_000)
    }
}
