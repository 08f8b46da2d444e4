package cowslipcart.core.intake

/** One request of a caller, from its first byte to the end of its answer. */
@JvmInline
public value class HoldId(public val value: Long)

/** Network address of a client. */
@JvmInline
public value class ClientAddress(public val value: String)

/** Why a request is not read to its end. It has not run. */
public enum class RefusedIntake(public val text: String) {
    /** It arrives too slowly while others wait for its room. */
    STALLED("stalled-body"),

    /** Its client holds more than its share while others wait for room. */
    CLIENT_SHARE("client-share"),

    /** All room is taken by requests that are older or smaller. */
    NO_ROOM("no-room"),

    /** Its connection was closed for a new one. */
    CONNECTIONS("connections")
}

/** What an [IntakeBudget] has decided about a request. */
public sealed interface IntakeDecision {
    public val id: HoldId

    /** The bytes that the request asked for are reserved. */
    public data class Granted(override val id: HoldId) : IntakeDecision

    /** The request has to give up its bytes. */
    public data class Refused(override val id: HoldId, public val reason: RefusedIntake) :
        IntakeDecision
}
