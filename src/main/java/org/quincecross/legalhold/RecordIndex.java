package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.locationtech.jts.index.bintree.Bintree;
import org.locationtech.jts.index.bintree.Interval;

/**
 * Values for record selectors, found by overlap: periods in an interval tree for each series, keys
 * by name. Since a key may belong to any period, pairs of keys and periods are not looked up
 * individually: the wildcards {@link #anyKey} and {@link #anyPeriod} stand for them, and a caller
 * that puts a key or a period into one index puts the wildcard into the other.
 */
final class RecordIndex<V> {
  private static final int KEYS = -1;
  private static final int PERIODS = -2;

  private record Item<V>(Records records, V value) {}

  private static final class Series<V> {
    /** The whole series, and the wildcards for any key and any period of it. */
    private final Map<Records, V> broad = new HashMap<>();

    private final Map<Records, V> keys = new HashMap<>();
    private final Map<Records, Item<V>> periods = new HashMap<>();
    private final Bintree tree = new Bintree();

    private boolean isEmpty() {
      return broad.isEmpty() && keys.isEmpty() && periods.isEmpty();
    }

    private int size() {
      return broad.size() + keys.size() + periods.size();
    }
  }

  private final Map<String, Series<V>> series = new HashMap<>();

  /** The wildcard for all keys of a series: overlaps every period. */
  static Records anyKey(String series) {
    return new Records(series, KEYS, 0, null);
  }

  /** The wildcard for all periods of a series: overlaps every key. */
  static Records anyPeriod(String series) {
    return new Records(series, PERIODS, 0, null);
  }

  private static Records whole(String series) {
    return new Records(series, 0, 0, null);
  }

  V get(Records records) {
    Series<V> there = series.get(records.series());
    if (there == null) {
      return null;
    }
    if (records.isPeriod()) {
      Item<V> item = there.periods.get(records);
      return item == null ? null : item.value();
    }
    return (records.isKey() ? there.keys : there.broad).get(records);
  }

  /**
   * Intervals in the tree include their ends, so the end is set half a day before the first day
   * after the period.
   */
  private static Interval span(Records records) {
    return new Interval(records.from(), records.to() - 0.5);
  }

  void put(Records records, V value) {
    Series<V> there = series.computeIfAbsent(records.series(), name -> new Series<>());
    if (records.isPeriod()) {
      Item<V> item = new Item<>(records, value);
      there.periods.put(records, item);
      there.tree.insert(span(records), item);
    } else {
      (records.isKey() ? there.keys : there.broad).put(records, value);
    }
  }

  void remove(Records records) {
    Series<V> there = series.get(records.series());
    if (records.isPeriod()) {
      there.tree.remove(span(records), there.periods.remove(records));
    } else {
      (records.isKey() ? there.keys : there.broad).remove(records);
    }
    if (there.isEmpty()) {
      series.remove(records.series());
    }
  }

  /**
   * Returns how many entries overlap {@code records}; wildcards are counted without visiting each
   * entry.
   */
  int count(Records records) {
    Series<V> there = series.get(records.series());
    if (records.equals(Records.ANY)) {
      return series.values().stream().mapToInt(Series::size).sum();
    }
    int any = get(Records.ANY) == null ? 0 : 1;
    if (there == null) {
      return any;
    }
    int whole = get(whole(records.series())) == null ? 0 : 1;
    return switch (records.from()) {
      case KEYS -> any + whole + there.periods.size();
      case PERIODS -> any + whole + there.keys.size();
      default -> overlapping(records).size();
    };
  }

  /** Returns the values of all entries that may overlap {@code records}. */
  List<V> overlapping(Records records) {
    List<V> found = new ArrayList<>();
    if (records.equals(Records.ANY)) {
      series.values().forEach(each -> addAll(each, found));
      return found;
    }
    add(found, Records.ANY);
    Series<V> there = series.get(records.series());
    if (there == null) {
      return found;
    }
    if (records.equals(whole(records.series()))) {
      addAll(there, found);
      return found;
    }
    add(found, whole(records.series()));
    if (records.isKey()) {
      add(found, records);
      add(found, anyPeriod(records.series()));
    } else if (records.isPeriod()) {
      add(found, anyKey(records.series()));
      for (Object candidate : there.tree.query(span(records))) {
        Records other = ((Item<?>) candidate).records();
        if (other.overlaps(records)) { // the tree also returns candidates that do not overlap
          found.add(get(other));
        }
      }
    } else if (records.from() == KEYS) {
      there.periods.values().forEach(item -> found.add(item.value()));
    } else {
      found.addAll(there.keys.values());
    }
    return found;
  }

  private void add(List<V> found, Records records) {
    V value = get(records);
    if (value != null) {
      found.add(value);
    }
  }

  private void addAll(Series<V> there, List<V> found) {
    found.addAll(there.broad.values());
    found.addAll(there.keys.values());
    there.periods.values().forEach(item -> found.add(item.value()));
  }
}
