package org.godwitwick.core.group

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.CHARS_PER_TOKEN
import org.godwitwick.core.model.InstanceId

/** An engine that may join a group. */
data class GroupMember(val id: InstanceId, val kvCapacityTokens: Int)

/**
 * Part of a prompt that is prefilled by one member.
 *
 * @property startChar start in the prompt, inclusive.
 * @property endChar end in the prompt, exclusive.
 * @property holdTokens KV memory to reserve; for the last member it includes the generated tokens.
 */
data class GroupSegment(val member: InstanceId, val startChar: Int, val endChar: Int, val holdTokens: Int)

/**
 * Distribution of a prompt over several engines.
 *
 * @property segments segments in prompt order; the member of the last one also generates the answer.
 */
data class GroupPlan(val segments: List<GroupSegment>) {
    /**
     * Segments in the order in which memory is reserved: by engine id, the same for all groups, so that groups do not deadlock.
     */
    val reservationOrder: List<GroupSegment> get() = segments.sortedBy { it.member.value }
}

/** Smallest number of engines in a group. */
const val MIN_GROUP_MEMBERS = 2

/** Largest number of engines in a group. */
const val MAX_GROUP_MEMBERS = 4

private const val BLOCK_CHARS = 4_096

// Preferred upper bound on the fraction of the members' memory that a group uses. A group that needs all of it can hardly be
// reserved while other requests run on its members.
private const val TARGET_FILL = 0.8

/**
 * Plans a group for a prompt of [promptChars] characters and an answer of up to [maxTokens] tokens.
 *
 * Takes the first of [members], as few as hold the prompt with some headroom, and splits the prompt in proportion to their KV
 * memory. Fails with `overloaded` if [MAX_GROUP_MEMBERS] members do not hold it.
 */
fun planGroup(promptChars: Int, maxTokens: Int, members: List<GroupMember>): Result<GroupPlan, Failure> {
    val neededTokens = tokensOf(promptChars) + maxTokens
    val sizes = MIN_GROUP_MEMBERS..minOf(MAX_GROUP_MEMBERS, members.size)
    val sizeWithHeadroom = sizes.firstOrNull { size -> neededTokens <= TARGET_FILL * capacityOf(members, size) }
    val size = sizeWithHeadroom ?: sizes.lastOrNull() ?: return doesNotFit(members.size)
    return split(promptChars, maxTokens, members.take(size))
}

private fun split(promptChars: Int, maxTokens: Int, members: List<GroupMember>): Result<GroupPlan, Failure> {
    val totalCapacity = capacityOf(members, members.size)
    val neededTokens = tokensOf(promptChars) + maxTokens
    var start = 0
    var capacity = 0L
    val segments = members.mapIndexed { index, member ->
        capacity += member.kvCapacityTokens
        val isLast = index == members.lastIndex
        val shareEnd = (neededTokens * capacity / totalCapacity * CHARS_PER_TOKEN).coerceAtMost(promptChars.toLong()).toInt()
        val end = if (isLast) promptChars else (shareEnd / BLOCK_CHARS * BLOCK_CHARS).coerceAtLeast(start)
        val holdTokens = tokensOf(end - start) + if (isLast) maxTokens else 0
        GroupSegment(member.id, start, end, holdTokens).also { start = end }
    }
    val fits = segments.zip(members).all { (segment, member) -> segment.holdTokens <= member.kvCapacityTokens }
    return if (fits && segments.none { it.startChar == it.endChar }) Ok(GroupPlan(segments)) else doesNotFit(members.size)
}

private fun tokensOf(chars: Int): Int = (chars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

private fun capacityOf(members: List<GroupMember>, size: Int): Long = members.take(size).sumOf { it.kvCapacityTokens.toLong() }

private fun doesNotFit(members: Int) =
    Err(Failure(ErrorKind.OVERLOADED, "the prompt does not fit into a group of the $members available engines"))
