package org.godwitwick.node.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigSubject
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.ServiceRoute
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** The routes that the current configuration declares for services. */
class ServiceRouteTable(private val config: () -> ConfigView) {
    private class ParsedRoutes(val text: String, val routes: List<ServiceRoute>)

    private val cache = ConcurrentHashMap<String, ParsedRoutes>()

    /**
     * Returns the declared route of a call, or null if there is none. The longest matching prefix wins. If one prefix is declared
     * twice, the declaration that is not idempotent wins.
     */
    fun find(service: String, method: String, path: String): ServiceRoute? = routesOf(service)
        .filter { it.method.equals(method, ignoreCase = true) && covers(it.pathPrefix, path) }
        .minWithOrNull(compareByDescending<ServiceRoute> { it.pathPrefix.trimEnd('/').length }.thenBy { it.idempotent })

    /** Returns those of [services] that have a route that is not idempotent. */
    fun withNonIdempotentRoutes(services: Set<String>): Set<String> =
        services.filter { name -> routesOf(name).any { !it.idempotent } }.toSet()

    private fun covers(prefix: String, path: String): Boolean {
        val base = prefix.trimEnd('/')
        return path == base || path.startsWith("$base/")
    }

    private fun routesOf(service: String): List<ServiceRoute> {
        val text = config().text(ConfigField.SERVICE_ROUTES, ConfigSubject(service = service))
        val cached = cache[service]
        if (cached?.text == text) return cached.routes
        val routes = parse(service, text)
        // Only services with routes are cached: callers choose the names, so caching all of them could fill the memory.
        if (routes.isNotEmpty()) cache[service] = ParsedRoutes(text, routes)
        return routes
    }

    private fun parse(service: String, text: String): List<ServiceRoute> = try {
        Json.decodeFromString<List<ServiceRoute>>(text)
    } catch (e: SerializationException) {
        log.error("http: cannot parse the configured routes of service {}: {}", service, e.message)
        emptyList()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ServiceRouteTable::class.java)
    }
}
