package org.godwitwick.standins.wire

import kotlin.random.Random

/** One way in which a server stops within an answer and writes another one. */
data class JoinedCell(
    val firstEnd: BodyEnd,
    val secondEnd: BodyEnd,
    val cut: AnswerCut,
    val packets: SecondPackets,
    val fieldOrder: List<Int>,
    val lateMs: Long,
) {
    /** Class of cells whose faults have one cause. */
    val group: String get() = "$firstEnd, ${cut::class.simpleName}, $packets"

    companion object {
        private val SECOND_ENDS = listOf(BodyEnd.LENGTH, BodyEnd.CHUNKS)

        private val LATE_MS = 2L..17L

        /**
         * Each cut of each framing, with orders of the header fields and packets that [random] chooses.
         *
         * @param fieldCount number of header fields, with the one for the framing.
         * @param headBytes length of the head of a first answer.
         */
        fun all(random: Random, fieldCount: Int, headBytes: (BodyEnd) -> Int): List<JoinedCell> =
            BodyEnd.entries.flatMap { firstEnd ->
                SECOND_ENDS.flatMap { secondEnd ->
                    val cuts = AnswerCut.inHead(headBytes(firstEnd)).map { it to SecondPackets.entries.random(random) } +
                        AnswerCut.behindHead.flatMap { cut -> SecondPackets.entries.map { cut to it } }
                    cuts.map { (cut, packets) ->
                        val order = List(fieldCount) { it }.shuffled(random)
                        JoinedCell(firstEnd, secondEnd, cut, packets, order, LATE_MS.random(random))
                    }
                }
            }
    }
}
