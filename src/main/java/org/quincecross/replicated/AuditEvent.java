package org.quincecross.replicated;

import java.util.Map;

/**
 * What a transition adds to the audit trail; short, because a page of the trail is limited to 4
 * KiB.
 *
 * @param event what happened, as one word
 * @param details strings, numbers, booleans, and lists and maps of them
 */
public record AuditEvent(String event, Map<String, Object> details) {}
