package org.quincecross.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Endpoint;
import org.quincecross.model.MemberId;
import org.quincecross.model.Span;

class SettingsTest {
    private static Settings with(double lease, double cancel) throws BadMessage {
        Endpoint somewhere = new Endpoint("10.0.0.1", 80);
        return Settings.read(SettingsWriter.write(new Settings(new MemberId("n0"), "a", somewhere, somewhere, List.of(), somewhere, somewhere, List.of("a"),
                Map.of(), List.of(), new Settings.Workers(Span.ofSeconds(1), Span.ofSeconds(lease), Span.ofSeconds(30), Span.ofSeconds(5), Span.ofSeconds(cancel)),
                new Settings.StateLimits(100, 10, 4096, 8), new Settings.CloudLimits(4, Span.ofSeconds(2)), Span.ofSeconds(1),
                new Settings.Quota(1, 200, 1000))));
    }

    /** Nobody could be told of a cancellation in time: the program is to say so, by the field, rather than run and break it. */
    @Test
    void leasesTooLongForCancellationsAreNamed() throws BadMessage {
        assertEquals(Span.ofSeconds(60), with(60, 36).workers().lease());
        String why = assertThrows(BadMessage.class, () -> with(80, 36)).getMessage();
        assertEquals("field lease_s is too long for what cancel_s says: tasks that nobody reaches go on for a lease", why);
    }
}
