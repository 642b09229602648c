package org.quincecross.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Help;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.TextTable;

/** Formats rows as a table with a column for each name; wide columns are wrapped. */
final class Table {
  private static final int MAX_COLUMN_WIDTH = 60;
  private static final int GAP = 2;

  private Table() {}

  static String of(List<Map<String, Object>> rows) {
    Set<String> names = new LinkedHashSet<>();
    rows.forEach(row -> names.addAll(row.keySet()));
    if (names.isEmpty()) {
      return "none\n";
    }
    List<Column> columns = new ArrayList<>();
    for (String name : names) {
      int width = name.length();
      for (Map<String, Object> row : rows) {
        width = Math.max(width, cell(row.get(name)).length());
      }
      columns.add(new Column(Math.min(MAX_COLUMN_WIDTH, width) + GAP, 0, Column.Overflow.WRAP));
    }
    TextTable table =
        TextTable.forColumns(Help.defaultColorScheme(Ansi.OFF), columns.toArray(new Column[0]));
    table.addRowValues(
        names.stream().map(name -> name.toUpperCase(Locale.ROOT)).toArray(String[]::new));
    for (Map<String, Object> row : rows) {
      table.addRowValues(names.stream().map(name -> cell(row.get(name))).toArray(String[]::new));
    }
    return table.toString();
  }

  private static String cell(Object value) {
    if (value == null) {
      return "-";
    }
    if (value instanceof List<?> list) {
      return String.join(", ", list.stream().map(Table::cell).toList());
    }
    if (value instanceof Map<?, ?> map) {
      return String.join(
          ", ",
          map.entrySet().stream()
              .map(entry -> entry.getKey() + "=" + cell(entry.getValue()))
              .toList());
    }
    return value.toString();
  }
}
