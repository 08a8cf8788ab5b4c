package org.godwitwick.node.formats

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.elementDescriptors
import org.godwitwick.node.forward.decodeFeedRecords
import org.godwitwick.node.peer.PeerMessage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Compares the formats that instances share with samples that an earlier version wrote; see `docs/formats.md`. */
@OptIn(ExperimentalSerializationApi::class)
class RecordedFormatsTest {
    private fun recorded(name: String): ByteArray? = javaClass.getResource("/formats/6093c7f/$name")?.readBytes()

    // Guards against instances of two versions that run side by side and do not understand each other.
    @TestFactory
    fun `samples of the earlier version are written the same and read without loss`(): List<DynamicTest> =
        recordedFormats.map { format ->
            DynamicTest.dynamicTest(format.name) {
                val sample = recorded(format.name)
                expectThat(sample).describedAs("recorded sample of ${format.name}").isNotNull()
                checkNotNull(sample)
                expectThat(format.written.toHex()).describedAs("${format.name} as written").isEqualTo(sample.toHex())
                expectThat(format.rewrite(sample).toHex()).describedAs("${format.name} as read").isEqualTo(sample.toHex())
            }
        }

    // Guards against a message type that is added without a sample.
    @Test
    fun `each type of message has a recorded sample`() {
        val types = PeerMessage.serializer().descriptor.elementDescriptors.last().elementDescriptors.map { it.serialName }.toSet()
        val sampled = recordedFormats.filter { it.name.startsWith("message-") }
            .mapTo(HashSet()) { format -> types.single { type -> format.written.startsWithType(type) } }
        expectThat(sampled).isEqualTo(types.toHashSet())
    }

    // Guards against a fleet of two versions with two senders of a limit, or with loads that are sent to nobody who adds them up.
    @Test
    fun `instances of the earlier version make the same choices`() {
        expectThat(agreedChoices()).isEqualTo(recorded("agreed-choices.txt")?.decodeToString())
    }

    @Test
    fun `packed feed records of the earlier version are read`() {
        val records = decodeFeedRecords(checkNotNull(recorded("feed-records-packed")))
        expectThat(records?.map { it.key to it.value?.decodeToString() }).isEqualTo(listOf("config" to "{}", "d1" to null))
    }

    // A message begins with the mark of an array, the length of the type's name and the name.
    private fun ByteArray.startsWithType(type: String): Boolean {
        val head = if (type.length <
            SHORT_TEXT
        ) {
            byteArrayOf((TEXT + type.length).toByte())
        } else {
            byteArrayOf(LONG_TEXT, type.length.toByte())
        }
        val name = head + type.encodeToByteArray()
        return size > name.size && copyOfRange(1, 1 + name.size).contentEquals(name)
    }

    private fun ByteArray.toHex() = joinToString("") { "%02x".format(it) }

    private companion object {
        /** Texts of this length and more have their length in a byte of its own. */
        const val SHORT_TEXT = 24
        const val TEXT = 0x60
        const val LONG_TEXT: Byte = 0x78
    }
}
