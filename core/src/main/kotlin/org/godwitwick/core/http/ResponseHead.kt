package org.godwitwick.core.http

/**
 * The head of an HTTP response.
 *
 * @property fields names and values of the header fields in the order in which they were sent.
 */
data class ResponseHead(val status: Int, val fields: List<Pair<String, String>>) {
    /** Whether another head follows this one (status 1xx). */
    val isInterim: Boolean get() = status in INTERIM

    /** All values of the field [name], whose case doesn't matter. */
    fun values(name: String): List<String> = fields.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    /** The first value of the field [name], or null if there is none. */
    fun value(name: String): String? = values(name).firstOrNull()

    private companion object {
        val INTERIM = 100..199
    }
}
