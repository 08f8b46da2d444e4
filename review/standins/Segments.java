import java.io.FileDescriptor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.nio.channels.NetworkChannel;

/**
 * Sets the size of the segments of a connection (TCP_MAXSEG) before it is made. The loopback
 * interface has segments of 64 KB, and send buffers of several MB with them; an Ethernet line does not.
 */
final class Segments {
    static final int ETHERNET_BYTES = 1_460;
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;

    private Segments() {}

    static void setBytes(NetworkChannel channel, int bytes) throws ReflectiveOperationException {
        Field field = channel.getClass().getDeclaredField("fd");
        field.setAccessible(true);
        Method method = Class.forName("sun.nio.ch.Net").getDeclaredMethod("setIntOption0", FileDescriptor.class, boolean.class, int.class, int.class, int.class, boolean.class);
        method.setAccessible(true);
        method.invoke(null, field.get(channel), false, IPPROTO_TCP, TCP_MAXSEG, bytes, false);
    }
}
