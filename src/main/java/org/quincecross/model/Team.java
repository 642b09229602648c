package org.quincecross.model;

/**
 * A team: what it is guaranteed and the most that its tasks may use at any time.
 *
 * @param limit infinite where the team has no limit
 */
public record Team(String name, Resources guarantee, Resources limit) {}
