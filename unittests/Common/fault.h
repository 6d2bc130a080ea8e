// Random faults for schedules, and the count of what a proof found.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FAULT_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FAULT_H_

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace corianderlink {

enum class FaultKind { kKill, kFreeze, kCut, kStoreDown, kEngineCrash };
constexpr int kFaultKinds = 5;

inline const char* ToString(FaultKind kind) {
  constexpr const char* kNames[] = {"kill", "freeze", "cut", "store_down",
                                    "engine_crash"};
  return kNames[static_cast<int>(kind)];
}

struct Fault {
  FaultKind kind = FaultKind::kKill;
  int at_ms = 0;
  int duration_ms = 0;
  int target = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << ToString(fault.kind) << "(" << fault.target << ") at "
             << fault.at_ms << " ms for " << fault.duration_ms << " ms";
}

/// One random schedule: the seed of all delays, and the faults.
struct Schedule {
  uint64_t seed = 0;
  std::vector<Fault> faults;
};

inline std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << "seed " << schedule.seed;
  for (const Fault& fault : schedule.faults) out << "; " << fault;
  return out;
}

/// Up to `max_faults` faults on `targets` processes within `span_ms`.
inline rc::Gen<Schedule> GenSchedule(size_t max_faults, int targets,
                                     int span_ms) {
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kFaultKinds),
                                [](int k) { return FaultKind{k}; })),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, span_ms)),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(1, span_ms)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, targets)));
  const auto faults = rc::gen::mapcat(
      rc::gen::inRange<size_t>(0, max_faults + 1), [fault](size_t count) {
        return rc::gen::container<std::vector<Fault>>(count, fault);
      });
  // Ranges grow with the size; the nominal one covers them whole.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Schedule>(
          rc::gen::set(&Schedule::seed, rc::gen::arbitrary<uint64_t>()),
          rc::gen::set(&Schedule::faults, faults)));
}

/// Schedules per proof: PROOF_SCHEDULES, or the number that CI runs.
inline int ProofSchedules() {
  const char* text = std::getenv("PROOF_SCHEDULES");
  return text == nullptr ? 10000 : std::atoi(text);
}

/// Seed of the schedules: PROOF_SEED, or the fixed one of CI.
inline uint64_t ProofSeed() {
  const char* text = std::getenv("PROOF_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// What one schedule found: nothing, or violations separated by "; ".
using ProofRun = std::function<std::string(const Schedule&)>;

struct ProofTotals {
  uint64_t schedules = 0;
  /// Schedules with a violation.
  uint64_t violations = 0;
  std::map<std::string, uint64_t> violations_by_kind;
  std::map<std::string, uint64_t> faults;
  std::string first_violation;
};

/// The fixed schedules of a proof.
inline std::vector<Schedule> MakeSchedules(const rc::Gen<Schedule>& gen) {
  std::vector<Schedule> schedules;
  rc::Random random(ProofSeed());
  // PROOF_ONLY repeats one schedule of a report.
  const char* only = std::getenv("PROOF_ONLY");
  for (int i = 0; i < ProofSchedules(); ++i) {
    const Schedule schedule = gen(random.split(), rc::kNominalSize).value();
    if (only == nullptr || i == std::atoi(only)) schedules.push_back(schedule);
  }
  return schedules;
}

/// Runs `run` over all schedules, on all processors; the schedules share
/// nothing, so the outcome does not depend on the order.
inline std::vector<std::string> RunAll(const std::vector<Schedule>& schedules,
                                       const ProofRun& run) {
  std::vector<std::string> found(schedules.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  const unsigned count = std::max(1u, std::thread::hardware_concurrency());
  for (unsigned t = 0; t < count; ++t) {
    threads.emplace_back([&] {
      for (size_t i = next++; i < schedules.size(); i = next++) {
        found[i] = run(schedules[i]);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return found;
}

/// Runs `run` over the fixed schedules and counts.
inline ProofTotals RunSchedules(const rc::Gen<Schedule>& gen,
                                const ProofRun& run) {
  const std::vector<Schedule> schedules = MakeSchedules(gen);
  const std::vector<std::string> found = RunAll(schedules, run);
  ProofTotals totals;
  totals.schedules = schedules.size();
  for (size_t i = 0; i < schedules.size(); ++i) {
    for (const Fault& fault : schedules[i].faults) {
      ++totals.faults[ToString(fault.kind)];
    }
    if (found[i].empty()) continue;
    std::istringstream kinds(found[i]);
    std::string kind;
    while (std::getline(kinds, kind, ';')) ++totals.violations_by_kind[kind];
    if (totals.violations++ > 0) continue;
    std::ostringstream text;
    text << found[i] << " [schedule " << i << ": " << schedules[i] << "]";
    totals.first_violation = text.str();
  }
  return totals;
}

/// Prints the line that utils/check --proofs collects.
inline void PrintProof(const std::string& point, const ProofTotals& naive,
                       const ProofTotals& ours) {
  std::cout << "proof: " << point << " schedules=" << ours.schedules
            << " naive_violations=" << naive.violations
            << " violations=" << ours.violations;
  for (const auto& [kind, count] : ours.faults) {
    std::cout << " " << kind << "=" << count;
  }
  std::cout << " seed=" << ProofSeed() << std::endl;
  for (const auto& [kind, count] : naive.violations_by_kind) {
    std::cout << "proof:   naive " << point << ": " << kind << " in " << count
              << std::endl;
  }
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FAULT_H_
