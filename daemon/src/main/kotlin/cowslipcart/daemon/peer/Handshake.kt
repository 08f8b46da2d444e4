package cowslipcart.daemon.peer

import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Computes the HMAC proofs by which two hosts show each other that they know the shared secret. */
internal class Handshake(secret: String) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)
    private val random = SecureRandom()

    fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    /** Proof of the host that opened the connection. */
    fun clientProof(serverNonce: ByteArray, clientNonce: ByteArray, host: String): ByteArray =
        proof("client", serverNonce, clientNonce, host)

    /** Proof of the host that accepted the connection. */
    fun serverProof(serverNonce: ByteArray, clientNonce: ByteArray, host: String): ByteArray =
        proof("server", serverNonce, clientNonce, host)

    /** Compares two proofs in constant time. */
    fun isEqual(expected: ByteArray, found: ByteArray): Boolean =
        MessageDigest.isEqual(expected, found)

    /** The role is part of the proof, so that a host's proof cannot be reflected back to it. */
    private fun proof(
        role: String,
        serverNonce: ByteArray,
        clientNonce: ByteArray,
        host: String
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        mac.update(role.encodeToByteArray())
        mac.update(serverNonce)
        mac.update(clientNonce)
        mac.update(host.encodeToByteArray())
        return mac.doFinal()
    }

    companion object {
        const val NONCE_BYTES = 32
        private const val ALGORITHM = "HmacSHA256"
    }
}
