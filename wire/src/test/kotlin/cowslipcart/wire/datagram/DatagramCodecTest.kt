package cowslipcart.wire.datagram

import cowslipcart.core.forwarding.AnswerNotice
import cowslipcart.core.forwarding.CrashNotice
import cowslipcart.core.forwarding.EndpointCrash
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointRun
import cowslipcart.core.forwarding.HostLoad
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.LeavingEndpoint
import cowslipcart.core.forwarding.PartCrash
import cowslipcart.core.forwarding.PrefilledPart
import cowslipcart.core.forwarding.PromptPartId
import cowslipcart.core.forwarding.QuarantinedRequest
import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.forwarding.SuspectedPart
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.StoreEra
import cowslipcart.core.model.VersionId
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against lost fields and against datagrams that crash the receiver. */
class DatagramCodecTest {
    private val id = EndpointId("e1")
    private val entry = EndpointEntry(id, PoolId("p"), "127.0.0.1", 80, "a", 4, isDraining = true)
    private val report = HostLoadReport(
        HostId("h"),
        IncarnationId(7),
        sequence = 3,
        profile = HostProfile("a", 0.5),
        loads = mapOf(id to HostLoad(2, 600)),
        msPerToken = mapOf(id to 3.25),
        unitsUsed = mapOf(OrganisationId("o") to 12.5),
        prefilledParts = listOf(PrefilledPart(PromptPartId(5), id)),
        crashes = listOf(CrashNotice(1, Fingerprint("f"), id))
    )
    private val suspectedParts = listOf(
        SuspectedPart(
            PromptPartId(-7),
            listOf(PartCrash(id, 4, true), PartCrash(id, 90_000, false)),
            null
        ),
        SuspectedPart(PromptPartId(8), emptyList(), answeredAgoMs = 1_500)
    )
    private val samples = listOf(
        PeerDatagram.LoadReport(report, isLeaving = false),
        PeerDatagram.LoadReport(report, isLeaving = true),
        PeerDatagram.Update(StoreUpdate.Configuration(LogOffset(9), ageMs = 4)),
        PeerDatagram.Update(
            StoreUpdate.Endpoints(
                LogOffset(4),
                LogOffset(9),
                listOf(
                    EndpointChange(id, EndpointRecord(entry, 11, 12), LogOffset(5)),
                    EndpointChange(id, null, LogOffset(6))
                ),
                ageMs = 4,
                recoveredForMs = 100
            )
        )
    )

    /** An update with what earlier builds do not read; they read the store instead. */
    private val versioned = PeerDatagram.Update(
        StoreUpdate.Endpoints(
            LogOffset(4),
            LogOffset(9),
            listOf(
                EndpointChange(
                    id,
                    EndpointRecord(entry.copy(version = VersionId("v2"), isCold = true), 11, 12),
                    LogOffset(5)
                )
            ),
            ageMs = 4,
            recoveredForMs = null
        )
    )

    @Nested
    inner class RoundTrip {
        @Test
        fun `the era of a store update survives a round trip`() {
            val updates = samples.filterIsInstance<PeerDatagram.Update>().map { it.update }.map {
                when (it) {
                    is StoreUpdate.Configuration -> it.copy(era = StoreEra(7))
                    is StoreUpdate.Endpoints -> it.copy(era = StoreEra(7))
                }
            }
            assertTrue(updates.isNotEmpty())
            for (update in updates) {
                val sample = PeerDatagram.Update(update)
                assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
            }
        }

        @Test
        fun `load reports and store updates survive a round trip`() {
            for (sample in samples + versioned) {
                assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
            }
        }

        @Test
        fun `quarantined requests survive a round trip`() {
            val quarantined = QuarantinedRequest(
                Fingerprint("f"),
                listOf(EndpointCrash(id, 90_000), EndpointCrash(EndpointId("e2"), 95_000)),
                failedProbes = 1,
                crashedAgoMs = 90_000,
                seenAgoMs = 40
            )
            val sample = PeerDatagram.LoadReport(
                report.copy(
                    quarantines = listOf(quarantined),
                    endpointRuns = listOf(EndpointRun(id, 9_000, 40))
                ),
                false
            )

            assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
            val odd = report.copy(quarantines = listOf(quarantined.copy(crashedAgoMs = -1)))
            val encoded = DatagramCodec.encode(PeerDatagram.LoadReport(odd, false))
            assertTrue(DatagramCodec.decode(encoded).isLeft())
        }

        @Test
        fun `versions of streams and questions for them survive a round trip`() {
            val streams = (1L..500L).associate { StreamKey(it shl 50) to VersionId("v${it % 3}") }
            val told = PeerDatagram.StreamsTold(streams)
            val asked = PeerDatagram.StreamAsked(HostId("h"), StreamKey(-1))
            for (sample in listOf(told, asked)) {
                val encoded = DatagramCodec.encode(sample)
                assertTrue(encoded.size < 6_000, "${encoded.size}")
                assertEquals(sample, DatagramCodec.decode(encoded).getOrNull())
            }
        }

        @Test
        fun `lost endpoints survive a round trip`() {
            val endpoints = (1..64).mapTo(mutableSetOf()) { EndpointId("i-86139d91bd$it") }
            for (isRelayed in listOf(false, true)) {
                val lost = PeerDatagram.EndpointsLost(HostId("h"), endpoints, isRelayed)
                val encoded = DatagramCodec.encode(lost)
                assertTrue(encoded.size < 1_400, "${encoded.size}")
                assertEquals(lost, DatagramCodec.decode(encoded).getOrNull())
            }
        }

        @Test
        fun `suspected parts survive a round trip`() {
            val sample = PeerDatagram.LoadReport(
                report.copy(suspectedParts = suspectedParts),
                false
            )

            assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
        }

        @Test
        fun `a configuration survives a round trip, compressed`() {
            val value = "a route of the configuration, ".repeat(5_000).toByteArray()
            val record = TableRecord("config", value, LogOffset(8))
            val update = StoreUpdate.Configuration(LogOffset(9), ageMs = 4, record)
            val bytes = DatagramCodec.encode(PeerDatagram.Update(update))
            val decoded = DatagramCodec.decode(bytes).getOrNull() as PeerDatagram.Update
            val found = (decoded.update as StoreUpdate.Configuration).record

            assertTrue(bytes.size < value.size / 10, "${bytes.size} bytes")
            assertEquals(value.toList(), found?.value?.toList())
            assertEquals(LogOffset(8), found?.offset)
        }

        /** Guards against a few bytes that fill the memory of a host. */
        @Test
        fun `a configuration beyond all limits is not expanded`() {
            val value = ByteArray(20_000_000)
            val record = TableRecord("config", value, LogOffset(8))
            val update = StoreUpdate.Configuration(LogOffset(9), ageMs = 4, record)
            val bytes = DatagramCodec.encode(PeerDatagram.Update(update))

            assertTrue(DatagramCodec.decode(bytes).isLeft())
        }

        @Test
        fun `leaving endpoints survive a round trip, with suspected parts and without`() {
            val leaving = listOf(LeavingEndpoint(id, 1_733_400_000_000), LeavingEndpoint(id, 0))
            for (parts in listOf(emptyList(), suspectedParts)) {
                val full = report.copy(suspectedParts = parts, leavingEndpoints = leaving)
                val sample = PeerDatagram.LoadReport(full, false)

                assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
            }
        }

        @Test
        fun `notices of answers survive a round trip`() {
            val full = report.copy(answers = listOf(AnswerNotice(2, Fingerprint("f"))))
            val sample = PeerDatagram.LoadReport(full, false)

            assertEquals(sample, DatagramCodec.decode(DatagramCodec.encode(sample)).getOrNull())
        }

        /** Guards against a report that is divided on its way, beside 300 bytes. */
        @Test
        fun `the largest list of suspected parts takes less than a datagram`() {
            val crashes = List(8) { PartCrash(EndpointId("i-0123456789"), 1_800_000, true) }
            val parts = List(6) { SuspectedPart(PromptPartId(Long.MAX_VALUE), crashes, 1_800_000) }
            val full = PeerDatagram.LoadReport(report.copy(suspectedParts = parts), false)
            val added = DatagramCodec.encode(full).size - DatagramCodec.encode(samples[0]).size

            assertTrue(added < 1_150, "$added bytes")
        }
    }

    /**
     * Guards against a renamed class, property or constant that changes what hosts of another
     * version read. The bytes are of commit 491c89c.
     */
    @Nested
    inner class RecordedBytes {
        @Test
        fun `recorded datagrams are what is read and written today`() {
            val resource = checkNotNull(javaClass.getResource("/recorded/datagrams.hex"))
            val datagrams = resource.readText().lines().filter { it.isNotEmpty() }

            assertEquals(samples.size, datagrams.size)
            for ((hex, sample) in datagrams.zip(samples)) {
                val bytes = HexFormat.of().parseHex(hex)

                assertEquals(sample, DatagramCodec.decode(bytes).getOrNull())
                val encoded = DatagramCodec.encode(sample)
                assertEquals(hex, HexFormat.of().formatHex(encoded), "$sample")
            }
        }
    }

    @Nested
    inner class BadInput {
        @Test
        fun `an empty datagram and an unknown kind are errors`() {
            assertTrue(DatagramCodec.decode(ByteArray(0)).isLeft())
            assertTrue(DatagramCodec.decode(byteArrayOf(99, 1, 2)).isLeft())
        }

        @Test
        fun `10,000 corrupted datagrams are decoded or rejected without an exception`() {
            val random = Random(5)
            repeat(10_000) {
                val bytes = DatagramCodec.encode(samples.random(random))
                repeat(random.nextInt(1, 4)) {
                    bytes[random.nextInt(bytes.size)] = random.nextInt().toByte()
                }
                DatagramCodec.decode(bytes.copyOf(random.nextInt(1, bytes.size + 1)))
            }
        }
    }

    /** Guards against numbers that overflow in sums, and lengths that are allocated unread. */
    @Nested
    inner class ExtremeNumbers {
        private fun isRejected(report: HostLoadReport): Boolean {
            val datagram = PeerDatagram.LoadReport(report, isLeaving = false)
            return DatagramCodec.decode(DatagramCodec.encode(datagram)).isLeft()
        }

        @Test
        fun `a load report with extreme numbers is rejected`() {
            val loads = listOf(
                HostLoad(Int.MAX_VALUE, 0),
                HostLoad(Int.MIN_VALUE, 0),
                HostLoad(0, Long.MAX_VALUE),
                HostLoad(0, Long.MIN_VALUE)
            )
            for (load in loads) assertTrue(isRejected(report.copy(loads = mapOf(id to load))))
            for (number in listOf(Double.NaN, Double.POSITIVE_INFINITY)) {
                assertTrue(isRejected(report.copy(profile = HostProfile("a", number))))
                val used = mapOf(OrganisationId("o") to number)
                assertTrue(isRejected(report.copy(unitsUsed = used)))
            }
        }

        @Test
        fun `an endpoint with a port or a number of slots out of range is rejected`() {
            val odd = listOf(
                entry.copy(port = 0),
                entry.copy(port = 65_536),
                entry.copy(slotCount = 0),
                entry.copy(slotCount = Int.MAX_VALUE)
            )
            for (next in odd) {
                val change = EndpointChange(id, EndpointRecord(next, 1, 1), LogOffset(5))
                val update =
                    StoreUpdate.Endpoints(LogOffset(4), LogOffset(9), listOf(change), 4, null)
                val bytes = DatagramCodec.encode(PeerDatagram.Update(update))
                assertTrue(DatagramCodec.decode(bytes).isLeft(), "$next")
            }
        }

        @Test
        fun `a huge length at any place is an error`() {
            val lengths = listOf("7fffffff", "7ffffffe", "ffffffff").map { "00000000$it" } +
                listOf("7fffffffffffffff", "ffffffffffffffff")
            for (sample in samples) {
                val bytes = DatagramCodec.encode(sample)
                for (index in 1 until bytes.size) {
                    for (type in listOf(BYTES, TEXT, ARRAY)) {
                        for (length in lengths) {
                            val header = byteArrayOf(type) + HexFormat.of().parseHex(length)
                            val head = bytes.copyOf(index) + header
                            DatagramCodec.decode(head + bytes.drop(index + 1).toByteArray())
                        }
                    }
                }
            }
        }
    }

    private companion object {
        /** CBOR types with a length of eight bytes. */
        const val BYTES = 0x5b.toByte()
        const val TEXT = 0x7b.toByte()
        const val ARRAY = 0x9b.toByte()
    }
}
