package org.godwitwick.node.settings

import kotlinx.serialization.Serializable
import org.godwitwick.node.security.KeyEntry

/**
 * Settings of one entry instance, read from a JSON file with comments.
 *
 * @property instanceId name of the instance on the platform's list.
 * @property httpPort port for callers, operators and metrics; 0 takes a free one.
 * @property peerPort port for traffic between instances; 0 takes a free one.
 * @property peerSecretFile file with the shared secret of the instances.
 * @property keysFile file with the hashes of callers' and operators' keys.
 * @property cutOffGraceMs time after the last confirmation of the configuration from which a cut-off instance refuses new work.
 * @property logRetentionMs how long the platform's log keeps a record.
 * @property workerThreads threads that serve requests; each streamed answer holds one.
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
)

/** Content of a key file. */
@Serializable
data class KeyFile(val keys: List<KeyEntry>)
