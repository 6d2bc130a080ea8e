// Counters, gauges and latency histograms with text exposition.
#ifndef CORIANDERLINK_SUPPORT_METRICS_H_
#define CORIANDERLINK_SUPPORT_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace corianderlink {

/// A histogram of seconds with logarithmic buckets from 100 us to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;

  void Record(double seconds);
  /// Appends the buckets, sum and count of `name` to `text`.
  void AppendTo(const std::string& name, std::string& text) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The metrics of one process, owned by its event loop's thread.  Names may
/// carry labels: `requests_total{class="urgent"}`.
class Metrics {
 public:
  void Add(const std::string& name, double amount = 1);
  void Set(const std::string& name, double value);
  void Record(const std::string& name, double seconds);
  /// Value of a counter or gauge; 0 if it was never written.
  double Value(const std::string& name) const;
  /// The common text exposition format, version 0.0.4.
  std::string Exposition() const;

 private:
  std::map<std::string, double> values_;
  std::map<std::string, LatencyHistogram> histograms_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_METRICS_H_
