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
  private static final int ANY_KEY = -1;
  private static final int ANY_PERIOD = -2;

  private record PeriodEntry<V>(RecordSelector records, V value) {}

  private static final class SeriesEntries<V> {
    /** The whole series, and the wildcards for any key and any period of it. */
    private final Map<RecordSelector, V> seriesWide = new HashMap<>();

    private final Map<RecordSelector, V> keys = new HashMap<>();
    private final Map<RecordSelector, PeriodEntry<V>> periods = new HashMap<>();
    private final Bintree periodTree = new Bintree();

    private boolean isEmpty() {
      return seriesWide.isEmpty() && keys.isEmpty() && periods.isEmpty();
    }

    private int size() {
      return seriesWide.size() + keys.size() + periods.size();
    }
  }

  private final Map<String, SeriesEntries<V>> series = new HashMap<>();

  /** The wildcard for all keys of a series: overlaps every period. */
  static RecordSelector anyKey(String series) {
    return new RecordSelector(series, ANY_KEY, 0, null);
  }

  /** The wildcard for all periods of a series: overlaps every key. */
  static RecordSelector anyPeriod(String series) {
    return new RecordSelector(series, ANY_PERIOD, 0, null);
  }

  private static RecordSelector wholeSeries(String series) {
    return new RecordSelector(series, 0, 0, null);
  }

  V get(RecordSelector records) {
    SeriesEntries<V> ofSeries = series.get(records.series());
    if (ofSeries == null) {
      return null;
    }
    if (records.isPeriod()) {
      PeriodEntry<V> item = ofSeries.periods.get(records);
      return item == null ? null : item.value();
    }
    return (records.isKey() ? ofSeries.keys : ofSeries.seriesWide).get(records);
  }

  /**
   * Intervals in the tree include their ends, so the end is set half a day before the first day
   * after the period.
   */
  private static Interval span(RecordSelector records) {
    return new Interval(records.from(), records.to() - 0.5);
  }

  void put(RecordSelector records, V value) {
    SeriesEntries<V> ofSeries =
        series.computeIfAbsent(records.series(), name -> new SeriesEntries<>());
    if (records.isPeriod()) {
      PeriodEntry<V> item = new PeriodEntry<>(records, value);
      ofSeries.periods.put(records, item);
      ofSeries.periodTree.insert(span(records), item);
    } else {
      (records.isKey() ? ofSeries.keys : ofSeries.seriesWide).put(records, value);
    }
  }

  void remove(RecordSelector records) {
    SeriesEntries<V> ofSeries = series.get(records.series());
    if (records.isPeriod()) {
      ofSeries.periodTree.remove(span(records), ofSeries.periods.remove(records));
    } else {
      (records.isKey() ? ofSeries.keys : ofSeries.seriesWide).remove(records);
    }
    if (ofSeries.isEmpty()) {
      series.remove(records.series());
    }
  }

  /**
   * Returns how many entries overlap {@code records}; wildcards are counted without visiting each
   * entry.
   */
  int count(RecordSelector records) {
    SeriesEntries<V> ofSeries = series.get(records.series());
    if (records.equals(RecordSelector.ANY)) {
      return series.values().stream().mapToInt(SeriesEntries::size).sum();
    }
    int any = get(RecordSelector.ANY) == null ? 0 : 1;
    if (ofSeries == null) {
      return any;
    }
    int wholeSeriesCount = get(wholeSeries(records.series())) == null ? 0 : 1;
    return switch (records.from()) {
      case ANY_KEY -> any + wholeSeriesCount + ofSeries.periods.size();
      case ANY_PERIOD -> any + wholeSeriesCount + ofSeries.keys.size();
      default -> overlapping(records).size();
    };
  }

  /** Returns the values of all entries that may overlap {@code records}. */
  List<V> overlapping(RecordSelector records) {
    List<V> found = new ArrayList<>();
    if (records.equals(RecordSelector.ANY)) {
      series.values().forEach(each -> addAll(each, found));
      return found;
    }
    add(found, RecordSelector.ANY);
    SeriesEntries<V> ofSeries = series.get(records.series());
    if (ofSeries == null) {
      return found;
    }
    if (records.equals(wholeSeries(records.series()))) {
      addAll(ofSeries, found);
      return found;
    }
    add(found, wholeSeries(records.series()));
    if (records.isKey()) {
      add(found, records);
      add(found, anyPeriod(records.series()));
    } else if (records.isPeriod()) {
      add(found, anyKey(records.series()));
      for (Object candidate : ofSeries.periodTree.query(span(records))) {
        RecordSelector other = ((PeriodEntry<?>) candidate).records();
        if (other.overlaps(records)) { // the tree also returns candidates that do not overlap
          found.add(get(other));
        }
      }
    } else if (records.from() == ANY_KEY) {
      ofSeries.periods.values().forEach(item -> found.add(item.value()));
    } else {
      found.addAll(ofSeries.keys.values());
    }
    return found;
  }

  private void add(List<V> found, RecordSelector records) {
    V value = get(records);
    if (value != null) {
      found.add(value);
    }
  }

  private void addAll(SeriesEntries<V> ofSeries, List<V> found) {
    found.addAll(ofSeries.seriesWide.values());
    found.addAll(ofSeries.keys.values());
    ofSeries.periods.values().forEach(item -> found.add(item.value()));
  }
}
