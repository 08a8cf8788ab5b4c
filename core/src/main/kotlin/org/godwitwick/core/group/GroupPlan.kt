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
 * The part of a prompt that one member prefills.
 *
 * @property startChar first character, inclusive.
 * @property endChar last character, exclusive.
 * @property holdTokens KV memory to reserve; that of the last member includes the answer.
 */
data class GroupSegment(val member: InstanceId, val startChar: Int, val endChar: Int, val holdTokens: Int)

/** How a prompt runs on several engines: segments in the order of the prompt; the member of the last one generates. */
data class GroupPlan(val segments: List<GroupSegment>) {
    /** The order in which holds are taken, the same for all groups: by engine id. */
    val reservationOrder: List<GroupSegment> get() = segments.sortedBy { it.member.value }
}

/** Fewest engines of a group. */
const val MIN_GROUP_MEMBERS = 2

/** Most engines of a group. */
const val MAX_GROUP_MEMBERS = 4

private const val BLOCK_CHARS = 4_096

// A group that needs the last token of each member's memory can hardly be reserved while other requests run there.
private const val COMFORTABLE_FILL = 0.8

/**
 * Splits a prompt of [promptChars] characters over the first of [members], as few as hold it with some room to spare, in proportion
 * to their KV memory. Fails with `overloaded` when four don't hold it.
 */
fun planGroup(promptChars: Int, maxTokens: Int, members: List<GroupMember>): Result<GroupPlan, Failure> {
    val neededTokens = tokensOf(promptChars) + maxTokens
    val sizes = MIN_GROUP_MEMBERS..minOf(MAX_GROUP_MEMBERS, members.size)
    val comfortable = sizes.firstOrNull { size -> neededTokens <= COMFORTABLE_FILL * capacityOf(members, size) }
    val size = comfortable ?: sizes.lastOrNull() ?: return tooSmall(members.size)
    return split(promptChars, maxTokens, members.take(size))
}

private fun split(promptChars: Int, maxTokens: Int, members: List<GroupMember>): Result<GroupPlan, Failure> {
    val total = capacityOf(members, members.size)
    val neededTokens = tokensOf(promptChars) + maxTokens
    var start = 0
    var capacity = 0L
    val segments = members.mapIndexed { index, member ->
        capacity += member.kvCapacityTokens
        val isLast = index == members.lastIndex
        val share = (neededTokens * capacity / total * CHARS_PER_TOKEN).coerceAtMost(promptChars.toLong()).toInt()
        val end = if (isLast) promptChars else (share / BLOCK_CHARS * BLOCK_CHARS).coerceAtLeast(start)
        val holdTokens = tokensOf(end - start) + if (isLast) maxTokens else 0
        GroupSegment(member.id, start, end, holdTokens).also { start = end }
    }
    val fits = segments.zip(members).all { (segment, member) -> segment.holdTokens <= member.kvCapacityTokens }
    return if (fits && segments.none { it.startChar == it.endChar }) Ok(GroupPlan(segments)) else tooSmall(members.size)
}

private fun tokensOf(chars: Int): Int = (chars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

private fun capacityOf(members: List<GroupMember>, size: Int): Long = members.take(size).sumOf { it.kvCapacityTokens.toLong() }

private fun tooSmall(members: Int) =
    Err(Failure(ErrorKind.OVERLOADED, "no group of the $members engines at hand holds the prompt"))
