package org.godwitwick.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults of [FakeService]. Counts are numbers of further calls.
 *
 * @property loseAnswers calls that run and whose connection closes without an answer.
 * @property crashBefore calls whose connection closes before they run.
 * @property breakAnswers calls that run and whose answer ends in the middle of the body.
 * @property unavailableAfter calls that run and are answered with status 503 and `Retry-After: 0`.
 * @property unavailableBefore calls that do not run and are answered with status 503.
 * @property crossAnswers calls that run and whose answer carries another request's id.
 * @property hang calls that wait before they run until [FakeService.releaseHanging].
 * @property slowMs delay of every call.
 * @property answerBytes least size of an answer's body.
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
