package org.quincecross.emulator;

/** Something that lives and dies: what it has put off dies with it. */
final class Life {
    private boolean alive = true;

    boolean isAlive() {
        return alive;
    }

    void end() {
        alive = false;
    }
}
