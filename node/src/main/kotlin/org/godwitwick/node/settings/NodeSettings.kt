package org.godwitwick.node.settings

import kotlinx.serialization.Serializable
import org.godwitwick.node.memory.DEFAULT_BODY_MEMORY_FRACTION
import org.godwitwick.node.security.KeyEntry

/**
 * Settings of one entry instance, read from a JSON file with comments.
 *
 * @property instanceId name of the instance in the platform's instance list.
 * @property httpPort port for callers, operators and metrics; 0 selects a free port.
 * @property peerPort port for traffic between instances; 0 selects a free port.
 * @property peerSecretFile file with the shared secret of the instances.
 * @property keysFile file with the hashes of the keys of callers and operators.
 * @property workerThreads number of threads that serve requests; each streamed answer occupies one.
 * @property listPollMs interval between two reads of the instance list.
 * @property drainNoticeMs time for which a draining instance still serves new requests, so that the load balancer can notice.
 * @property stallTimeoutMs timeout of a write to a caller, and of a connect, read or write on a connection to an upstream.
 * @property cutOffGraceMs time since the last confirmation of the configuration after which a cut-off instance refuses new work.
 * @property logRetentionMs time for which the platform's log retains a record.
 * @property bodyMemoryFraction fraction of the heap that the bodies of requests and buffered answers may use at once.
 */
@Serializable
data class NodeSettings(
    val instanceId: String,
    val region: String,
    val dataCentre: String,
    val host: String = "127.0.0.1",
    val httpPort: Int,
    val peerPort: Int = 0,
    val peerSecretFile: String? = null,
    val keysFile: String,
    val logUrl: String,
    val instanceListUrl: String,
    val weightStoreUrl: String? = null,
    val workerThreads: Int = 256,
    val listPollMs: Long = 500,
    val drainNoticeMs: Long = 3_000,
    val stallTimeoutMs: Long = 10_000,
    val cutOffGraceMs: Long = 4_000,
    val logRetentionMs: Long = 86_400_000,
    val bodyMemoryFraction: Double = DEFAULT_BODY_MEMORY_FRACTION,
)

/** Content of a key file. */
@Serializable
data class KeyFile(val keys: List<KeyEntry>)
