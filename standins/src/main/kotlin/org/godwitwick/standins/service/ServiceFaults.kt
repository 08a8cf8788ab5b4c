package org.godwitwick.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults of [FakeService]. All but [slowMs] and [answerBytes] are the number of further calls that have the fault.
 *
 * @property loseAnswers calls that are executed, but whose connection is closed without a response.
 * @property crashBefore calls whose connection is closed without their being executed.
 * @property breakAnswers calls that are executed, but whose response body is truncated.
 * @property unavailableAfter calls that are executed, but answered with status 503 and `Retry-After: 0`.
 * @property unavailableBefore calls that are answered with status 503 without being executed.
 * @property crossAnswers calls that are executed, but whose response carries another request's id.
 * @property hang calls that are not executed until [FakeService.releaseHanging] is called.
 * @property slowMs delay of every call, in milliseconds.
 * @property answerBytes minimum size of a response body, in bytes.
 */
@Serializable
data class ServiceFaults(
    val loseAnswers: Int = 0,
    val crashBefore: Int = 0,
    val breakAnswers: Int = 0,
    val unavailableAfter: Int = 0,
    val unavailableBefore: Int = 0,
    val crossAnswers: Int = 0,
    val hang: Int = 0,
    val slowMs: Long = 0,
    val answerBytes: Int = 0,
)
