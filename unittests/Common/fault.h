// Random fault schedules and the runner of the fault-injection tests.
//
// These tests are called proofs.  Each one runs the tested code and a naive
// version of it over the same fixed schedules and counts the schedules in which
// an invariant was violated: the tested code must have none, the naive version
// shows that the schedules can detect the violation.
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

enum class FaultKind { kKill, kFreeze, kPartition, kStoreDown, kEngineCrash };
constexpr int kFaultKindCount = 5;

inline const char* ToString(FaultKind kind) {
  constexpr const char* kNames[] = {"kill", "freeze", "cut", "store_down",
                                    "engine_crash"};
  return kNames[static_cast<int>(kind)];
}

struct Fault {
  FaultKind kind = FaultKind::kKill;
  /// Start, relative to the start of the schedule.
  int at_ms = 0;
  int duration_ms = 0;
  /// Index of the affected process; ignored by kStoreDown and kEngineCrash.
  int target = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << ToString(fault.kind) << "(" << fault.target << ") at "
             << fault.at_ms << " ms for " << fault.duration_ms << " ms";
}

/// One random schedule: its faults, and the seed of all other random choices.
struct Schedule {
  uint64_t seed = 0;
  std::vector<Fault> faults;
};

inline std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << "seed " << schedule.seed;
  for (const Fault& fault : schedule.faults) out << "; " << fault;
  return out;
}

/// Generates schedules of up to `max_faults` faults on `targets` processes.
/// Each fault starts within `span_ms` and lasts less than `span_ms`.
inline rc::Gen<Schedule> GenSchedule(size_t max_faults, int targets,
                                     int span_ms) {
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kFaultKindCount),
                                [](int k) { return FaultKind{k}; })),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, span_ms)),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(1, span_ms)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, targets)));
  const auto faults = rc::gen::mapcat(
      rc::gen::inRange<size_t>(0, max_faults + 1), [fault](size_t count) {
        return rc::gen::container<std::vector<Fault>>(count, fault);
      });
  // RapidCheck scales ranges with the size; at the nominal size values are
  // drawn from the whole range.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Schedule>(
          rc::gen::set(&Schedule::seed, rc::gen::arbitrary<uint64_t>()),
          rc::gen::set(&Schedule::faults, faults)));
}

/// Number of schedules per test: PROOF_SCHEDULES, by default the number that CI
/// runs.
inline int ProofSchedules() {
  const char* text = std::getenv("PROOF_SCHEDULES");
  return text == nullptr ? 10000 : std::atoi(text);
}

/// Seed of the schedules: PROOF_SEED, by default the fixed seed of CI.
inline uint64_t ProofSeed() {
  const char* text = std::getenv("PROOF_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// Runs one schedule and returns the violations that it found, separated by
/// ';'; empty if there were none.
using ScheduleRunner = std::function<std::string(const Schedule&)>;

struct ProofTotals {
  uint64_t schedules = 0;
  /// Number of schedules with at least one violation.
  uint64_t violations = 0;
  std::map<std::string, uint64_t> violations_by_kind;
  /// Number of injected faults of each kind.
  std::map<std::string, uint64_t> faults;
  /// First schedule with a violation, its index and what was violated.
  std::string first_violation;
};

/// Generates the schedules of a test, the same for each run with one seed.
inline std::vector<Schedule> MakeSchedules(const rc::Gen<Schedule>& gen) {
  std::vector<Schedule> schedules;
  rc::Random random(ProofSeed());
  // PROOF_ONLY selects one schedule by its index in a reported violation.
  const char* only = std::getenv("PROOF_ONLY");
  for (int i = 0; i < ProofSchedules(); ++i) {
    const Schedule schedule = gen(random.split(), rc::kNominalSize).value();
    if (only == nullptr || i == std::atoi(only)) schedules.push_back(schedule);
  }
  return schedules;
}

/// Runs `run` for each schedule on one thread per processor.  Schedules share
/// no state, so the result does not depend on their order.
inline std::vector<std::string> RunInParallel(
    const std::vector<Schedule>& schedules, const ScheduleRunner& run) {
  std::vector<std::string> violation_texts(schedules.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  const unsigned count = std::max(1u, std::thread::hardware_concurrency());
  for (unsigned t = 0; t < count; ++t) {
    threads.emplace_back([&] {
      for (size_t i = next++; i < schedules.size(); i = next++) {
        violation_texts[i] = run(schedules[i]);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return violation_texts;
}

/// Runs `run` for each schedule of MakeSchedules and counts faults and
/// violations.
inline ProofTotals RunSchedules(const rc::Gen<Schedule>& gen,
                                const ScheduleRunner& run) {
  const std::vector<Schedule> schedules = MakeSchedules(gen);
  const std::vector<std::string> violation_texts =
      RunInParallel(schedules, run);
  ProofTotals totals;
  totals.schedules = schedules.size();
  for (size_t i = 0; i < schedules.size(); ++i) {
    for (const Fault& fault : schedules[i].faults) {
      ++totals.faults[ToString(fault.kind)];
    }
    if (violation_texts[i].empty()) continue;
    std::istringstream kinds(violation_texts[i]);
    std::string kind;
    while (std::getline(kinds, kind, ';')) ++totals.violations_by_kind[kind];
    if (totals.violations++ > 0) continue;
    std::ostringstream text;
    text << violation_texts[i] << " [schedule " << i << ": " << schedules[i]
         << "]";
    totals.first_violation = text.str();
  }
  return totals;
}

/// Prints the lines that utils/check --proofs collects: one with the totals and
/// one for each kind of violation of the naive version.
inline void PrintProof(const std::string& point, const ProofTotals& naive,
                       const ProofTotals& tested) {
  std::cout << "proof: " << point << " schedules=" << tested.schedules
            << " naive_violations=" << naive.violations
            << " violations=" << tested.violations;
  for (const auto& [kind, count] : tested.faults) {
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
