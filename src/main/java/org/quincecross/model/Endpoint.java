package org.quincecross.model;

/** The address that a process listens on: an IPv4 address and a port. */
public record Endpoint(String host, int port) {
  /** Parses text such as {@code 10.0.0.1:8080}; null when the text has another form. */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      return null;
    }
    String[] parts = text.substring(0, colon).split("\\.", -1);
    if (parts.length != 4) {
      return null;
    }
    for (String part : parts) {
      if (number(part, 255) < 0) {
        return null;
      }
    }
    int port = number(text.substring(colon + 1), 65535);
    return port < 1 ? null : new Endpoint(text.substring(0, colon), port);
  }

  private static int number(String digits, int most) {
    if (digits.isEmpty()
        || digits.length() > 5
        || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return -1;
    }
    int value = Integer.parseInt(digits);
    return value <= most ? value : -1;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
