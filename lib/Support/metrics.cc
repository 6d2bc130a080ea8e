// Metrics with Boost.Histogram, printed in text exposition format.
#include "corianderlink/Support/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace corianderlink {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBucketCount = 60;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 100;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

}  // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(LogAxis(1, 1, 2))) buckets = bh::make_histogram(
      LogAxis(kBucketCount, kLowestSeconds, kHighestSeconds));
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::Record(double seconds) {
  impl_->buckets(seconds);
  impl_->sum_seconds += seconds;
}

void LatencyHistogram::AppendTo(const std::string& name,
                                std::string& text) const {
  std::ostringstream out;
  double cumulative = 0;
  for (auto&& bucket : bh::indexed(impl_->buckets, bh::coverage::all)) {
    cumulative += *bucket;
    const double upper = bucket.bin().upper();
    if (upper > kHighestSeconds) continue;
    out << name << "_bucket{le=\"" << upper << "\"} " << cumulative << "\n";
  }
  out << name << "_bucket{le=\"+Inf\"} " << cumulative << "\n";
  out << name << "_sum " << impl_->sum_seconds << "\n";
  out << name << "_count " << cumulative << "\n";
  text += out.str();
}

void Metrics::Add(const std::string& name, double amount) {
  values_[name] += amount;
}

void Metrics::Set(const std::string& name, double value) {
  values_[name] = value;
}

void Metrics::Record(const std::string& name, double seconds) {
  histograms_[name].Record(seconds);
}

double Metrics::Value(const std::string& name) const {
  const auto it = values_.find(name);
  return it == values_.end() ? 0 : it->second;
}

std::string Metrics::Exposition() const {
  std::ostringstream out;
  for (const auto& [name, value] : values_) {
    out << "corianderlink_" << name << " " << value << "\n";
  }
  std::string text = out.str();
  for (const auto& [name, histogram] : histograms_) {
    histogram.AppendTo("corianderlink_" + name, text);
  }
  return text;
}

}  // namespace corianderlink
