package org.godwitwick.core.forward

/**
 * The engines of a service in the order that all instances agree on, as they are divided for a request.
 *
 * @param outrankingEnd engines at the start of [order] that are shared by the streams which outrank the request.
 * @param levelEnd engines at the start that are shared by these and the streams of its own level.
 * @param reservedStart where the engines begin that are left to lower ranks.
 */
class RankedLayout(
    val order: List<UpstreamView>,
    val outrankingEnd: Int,
    private val levelEnd: Int,
    private val reservedStart: Int,
) {
    /** Engines that streams of the request's level share. */
    val shared: List<UpstreamView> get() = order.subList(outrankingEnd, levelEnd)

    /** Engines that are not left to lower ranks. */
    val open: List<UpstreamView> get() = order.subList(0, reservedStart)

    /** Engines that are left to lower ranks. */
    val reserved: List<UpstreamView> get() = order.subList(reservedStart, order.size)

    /** The inputs of a decision for a request of [level] that is expected to go as in [forecast]. */
    fun inputs(level: Int, forecast: PrefillForecast, isLate: Boolean, outranking: Int = outrankingEnd) =
        RankedInputs(level, order.size, outranking, reserved.size, forecast, isLate)
}
