// JSON lines with a bound, the measured and the naive value.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_REPORT_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_REPORT_H_

#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace corianderlink {

/// Counts of passed and missed bounds.
struct BoundCounts {
  int passed = 0;
  int missed = 0;
};

/// Prints one bound.  `details` is added to the line.
inline void PrintBound(BoundCounts& counts, const std::string& name,
                       double value, const std::string& relation, double bound,
                       double naive, nlohmann::json details) {
  const bool pass = relation == "<=" ? value <= bound : value >= bound;
  ++(pass ? counts.passed : counts.missed);
  details["bound"] = name;
  details["value"] = value;
  details["target"] = relation + " " + nlohmann::json(bound).dump();
  details["naive"] = naive;
  details["result"] = pass ? "pass" : "miss";
  std::cout << details.dump() << std::endl;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_REPORT_H_
