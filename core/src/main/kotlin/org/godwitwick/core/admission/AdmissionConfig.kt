package org.godwitwick.core.admission

import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass

/** Configuration of admission for one model in one data centre. Each property reads the current configuration from [view]. */
class AdmissionConfig(private val view: () -> ConfigView, private val model: String, private val dataCentre: String) {
    private val config: ConfigView get() = view()

    /** Bounds of the prompt classes, in prompt tokens. */
    val classBounds: ClassBounds
        get() = ClassBounds(
            shortMaxTokens = config.integer(ConfigField.SHORT_MAX_TOKENS, ConfigSubject(model = model)).toInt(),
            mediumMaxTokens = config.integer(ConfigField.MEDIUM_MAX_TOKENS, ConfigSubject(model = model)).toInt(),
            longMaxTokens = config.integer(ConfigField.LONG_MAX_TOKENS, ConfigSubject(model = model)).toInt(),
        )

    /** Largest fraction of the replicas that long reads may occupy. */
    val longShare: Double get() = config.fraction(ConfigField.LONG_SHARE, ConfigSubject(model = model, dataCentre = dataCentre))

    /** Returns the largest number of queued requests of [promptClass]. */
    fun queueMax(promptClass: PromptClass): Int =
        config.integer(ConfigField.QUEUE_MAX, ConfigSubject(model = model, promptClass = promptClass.label)).toInt()

    /** Returns the weight of [organisation] in fair queueing. */
    fun weightOf(organisation: OrganisationId): Double =
        config.fraction(ConfigField.ORGANISATION_WEIGHT, ConfigSubject(organisation = organisation.value))

    companion object {
        /** Returns the fleet-wide limit of [organisation] in work tokens per second. */
        fun limitOf(config: ConfigView, organisation: OrganisationId): Double =
            config.integer(ConfigField.ORGANISATION_WORK, ConfigSubject(organisation = organisation.value)).toDouble()
    }
}
