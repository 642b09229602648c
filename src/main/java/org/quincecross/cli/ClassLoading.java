package org.quincecross.cli;

import java.io.File;
import java.io.IOException;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Loads the classes that a controller needs for the class-data archive. The archive spares every
 * start the reading and verification of classes, which on a fraction of a core takes much of the
 * time until the first response.
 */
final class ClassLoading {
  private static final List<String> PACKAGES =
      List.of("org/quincecross/", "com/fasterxml/jackson/core/", "org/msgpack/core/", "org/slf4j/");

  /** Packages that a serving controller does not need, which would only enlarge the archive. */
  private static final List<String> EXCLUDED =
      List.of("org/quincecross/emulator/", "org/quincecross/quota/");

  private ClassLoading() {}

  static void loadAll() throws IOException, MalformedMessageException {
    File jar =
        new File(ClassLoading.class.getProtectionDomain().getCodeSource().getLocation().getPath());
    try (JarFile file = new JarFile(jar)) {
      for (JarEntry entry : (Iterable<JarEntry>) file.stream()::iterator) {
        String name = entry.getName();
        if (name.endsWith(".class")
            && PACKAGES.stream().anyMatch(name::startsWith)
            && EXCLUDED.stream().noneMatch(name::startsWith)) {
          load(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
    Json.parse(Json.write(Json.object("a", List.of(1L, 2.5, "b", true))));
    Selector selector = Selector.open();
    ServerSocketChannel.open().close();
    SocketChannel.open().close();
    selector.close();
  }

  private static void load(String name) {
    try {
      Class.forName(name, false, ClassLoading.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      // a class whose optional dependencies are missing is not needed at run time either
    }
  }
}
