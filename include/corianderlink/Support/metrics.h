// Counters, gauges and latency histograms in text exposition format.
#ifndef CORIANDERLINK_SUPPORT_METRICS_H_
#define CORIANDERLINK_SUPPORT_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace corianderlink {

/// A histogram of latencies with logarithmic buckets from 100 us to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;

  void Record(double seconds);
  /// Appends the cumulative buckets, sum (in seconds) and count to `text`, as
  /// samples of the metric `name`.
  void AppendTo(const std::string& name, std::string& text) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The metrics of one process.  Not thread-safe: used only on the event loop's
/// thread.  The name of a counter or gauge may include labels, such as
/// `requests_total{class="urgent"}`.
class Metrics {
 public:
  /// Increments a counter.
  void Add(const std::string& name, double amount = 1);
  /// Sets a gauge.
  void Set(const std::string& name, double value);
  /// Adds a latency to a histogram.
  void Record(const std::string& name, double seconds);
  /// Value of a counter or gauge; 0 if it was never set.
  double Value(const std::string& name) const;
  /// All metrics in Prometheus text exposition format, version 0.0.4.
  std::string Exposition() const;

 private:
  std::map<std::string, double> values_;
  std::map<std::string, LatencyHistogram> histograms_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_METRICS_H_
