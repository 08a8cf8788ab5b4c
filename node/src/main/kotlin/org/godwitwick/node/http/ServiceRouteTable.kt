package org.godwitwick.node.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.ServiceRoute
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** The declared routes of services, as the configuration in force has them. */
class ServiceRouteTable(private val config: () -> ConfigView) {
    private class Parsed(val text: String, val routes: List<ServiceRoute>)

    private val parsed = ConcurrentHashMap<String, Parsed>()

    /**
     * The declared route of a call, or null. The longest prefix wins; of two declarations of one prefix the one that is not idempotent
     * does.
     */
    fun find(service: String, method: String, path: String): ServiceRoute? = routesOf(service)
        .filter { it.method.equals(method, ignoreCase = true) && covers(it.pathPrefix, path) }
        .minWithOrNull(compareByDescending<ServiceRoute> { it.pathPrefix.trimEnd('/').length }.thenBy { it.idempotent })

    /** Those of [services] that have a route to be run once. */
    fun withOnceRoutes(services: Set<String>): Set<String> =
        services.filter { name -> routesOf(name).any { !it.idempotent } }.toSet()

    private fun covers(prefix: String, path: String): Boolean {
        val base = prefix.trimEnd('/')
        return path == base || path.startsWith("$base/")
    }

    private fun routesOf(service: String): List<ServiceRoute> {
        val text = config().text(ConfigField.SERVICE_ROUTES, ConfigSubject(service = service))
        val known = parsed[service]
        if (known?.text == text) return known.routes
        val routes = parse(service, text)
        // Only configured services are remembered; callers choose the names that are asked for.
        if (routes.isNotEmpty()) parsed[service] = Parsed(text, routes)
        return routes
    }

    private fun parse(service: String, text: String): List<ServiceRoute> = try {
        Json.decodeFromString<List<ServiceRoute>>(text)
    } catch (e: SerializationException) {
        log.error("http: routes of service {} can't be read: {}", service, e.message)
        emptyList()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ServiceRouteTable::class.java)
    }
}
