package org.godwitwick.core.forward

/**
 * The regions of the data centres.
 *
 * Answers the demand that requests of some callers are handled in some regions only, while load and faults move work between data
 * centres. A data centre whose region is not known is outside all regions.
 *
 * @property own region of this instance, or null if it is not known.
 * @property byDataCentre region of each data centre.
 */
data class Regions(val own: String? = null, val byDataCentre: Map<String, String> = emptyMap()) {
    /** Whether a request that may be handled in [allowed] may go to an upstream in [dataCentre]; null allows all. */
    fun allowsUpstream(allowed: Set<String>?, dataCentre: String): Boolean =
        allowed == null || byDataCentre[dataCentre].let { it != null && it in allowed }

    /**
     * Whether the body of a request that may be handled in [allowed] may go to an instance in [dataCentre]. The region of this instance,
     * to which the caller has sent the body, is allowed as well.
     */
    fun allowsInstance(allowed: Set<String>?, dataCentre: String): Boolean =
        allowsUpstream(allowed, dataCentre) || byDataCentre[dataCentre].let { it != null && it == own }
}

/** The regions that [first] and [second] both allow; each may be null, which allows all. */
fun commonRegions(first: Set<String>?, second: Set<String>?): Set<String>? = when {
    first == null -> second
    second == null -> first
    else -> first intersect second
}
