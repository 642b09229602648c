package org.quincecross.model;

/**
 * A team with its quota.
 *
 * @param guarantee the resources that the team is guaranteed
 * @param limit the maximum that the team's tasks may use at any time; infinite without a limit
 */
public record Team(String name, Resources guarantee, Resources limit) {}
