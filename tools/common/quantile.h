// Quantiles of small samples.
#ifndef CORIANDERLINK_TOOLS_COMMON_QUANTILE_H_
#define CORIANDERLINK_TOOLS_COMMON_QUANTILE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace corianderlink {

/// The value at rank `q` in [0, 1]; 0 for no values.
inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<size_t>(q * static_cast<double>(values.size() - 1) + 0.5);
  const auto at = values.begin() + static_cast<int64_t>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_COMMON_QUANTILE_H_
