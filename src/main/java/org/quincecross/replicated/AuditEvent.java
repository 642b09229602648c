package org.quincecross.replicated;

import java.util.Map;

/**
 * What a step leaves in the trail: short, for a page of the trail has 4 KiB.
 *
 * @param event what happened, as one word
 * @param details strings, numbers, booleans, and lists and maps of them
 */
public record AuditEvent(String event, Map<String, Object> details) {}
