package org.quincecross.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Settings;

/** Reads the settings file, with one clear line for whatever is wrong with it. */
final class SettingsFile {
    private SettingsFile() {
    }

    static Settings read(Path file) throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IOException("cannot read settings file " + file + ": " + e.getClass().getSimpleName());
        }
        try {
            return Settings.read(bytes);
        } catch (BadMessage e) {
            throw new IOException("settings file " + file + ": " + e.getMessage());
        }
    }
}
