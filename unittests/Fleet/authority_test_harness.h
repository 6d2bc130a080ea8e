// Test harness for the authority proof: a fake engine, a fake table service,
// the fleet and entry processes, and the schedule of faults.
#ifndef CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_TEST_HARNESS_H_
#define CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_TEST_HARNESS_H_

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Common/fake_process.h"
#include "Common/fake_table.h"
#include "corianderlink/Authority/engine_report.h"
#include "corianderlink/Authority/order_record.h"

namespace corianderlink {

constexpr int kFleetCount = 3;
constexpr int kEntryCount = 2;
constexpr milliseconds kHeartbeatInterval{100};
constexpr milliseconds kPeerTimeout{500};
/// Delay after which the platform's instance list omits a dead instance.
constexpr milliseconds kInstanceListLag{1500};
constexpr milliseconds kMaxReportLag{300};

/// Returns a configuration that differs from those of other numbers.
inline EngineConfig MakeConfig(int number) {
  EngineConfig config;
  config.models.insert(ModelId("m" + std::to_string(number)));
  return config;
}

/// An engine that records every violation of the order protocol.
class FakeEngine {
 public:
  FakeEngine(VirtualLoop& loop, bool checks_fencing)
      : loop_(loop), checks_fencing_(checks_fencing) {}

  /// Starts a request that takes `duration`.  Refused while the engine is away:
  /// `on_end` is then called immediately.
  void StartRequest(Duration duration, std::function<void()> on_end) {
    if (away_) return on_end();
    ++in_flight_;
    const int boot = boot_;
    loop_.After(duration, [this, boot, on_end] {
      if (boot == boot_) --in_flight_;
      on_end();
    });
  }

  /// Handles an order, as the engine's order endpoint does.
  void OnOrder(const OrderRecord& order) {
    if (checks_fencing_ && order.fencing < max_fencing_) return;
    const bool repeated =
        order.sequence == sequence_ && order.config == ordered_config_;
    max_fencing_ = std::max(max_fencing_, order.fencing);
    if (repeated) return;
    if (checks_fencing_ && order.sequence < sequence_) return;
    if (order_running_ && !(order.config == ordered_config_)) {
      violations.insert("conflicting orders at the same time");
    }
    if (order.fencing < max_effective_fencing_ || order.sequence < sequence_) {
      violations.insert("a stale order took effect");
    }
    max_effective_fencing_ = std::max(max_effective_fencing_, order.fencing);
    StartOrder(order);
  }

  void Crash() {
    ++boot_;
    in_flight_ = 0;
    order_running_ = away_ = false;
    sequence_ = 0;
    max_fencing_ = 0;
    ordered_config_ = config_ = EngineConfig();
  }

  EngineReport Report() const {
    EngineReport report;
    report.boot_id = std::to_string(boot_);
    report.config = config_;
    report.away = away_;
    report.in_flight = in_flight_;
    report.order_sequence = sequence_;
    report.order_fencing = max_fencing_;
    report.order_state = sequence_ == 0   ? "none"
                         : order_running_ ? "running"
                                          : "done";
    return report;
  }

  /// Returns all violations, separated by ';'.
  std::string Violations() const {
    std::string text;
    for (const std::string& violation : violations) {
      text += (text.empty() ? "" : ";") + violation;
    }
    return text;
  }

  const EngineConfig& config() const { return config_; }
  bool away() const { return away_; }
  std::set<std::string> violations;
  int completed_orders = 0;

 private:
  void StartOrder(const OrderRecord& order) {
    sequence_ = order.sequence;
    ordered_config_ = order.config;
    order_running_ = true;
    if (InterruptsServing(config_, order.config)) {
      if (in_flight_ > 0) violations.insert("a planned change cut a request");
      away_ = true;
    }
    const int boot = boot_;
    const uint64_t sequence = sequence_;
    loop_.After(loop_.RandomMs(50, 800), [this, boot, sequence] {
      if (boot != boot_ || sequence != sequence_) return;
      config_ = ordered_config_;
      order_running_ = away_ = false;
      ++completed_orders;
    });
  }

  VirtualLoop& loop_;
  const bool checks_fencing_;
  int boot_ = 1;
  uint64_t sequence_ = 0;
  FencingToken max_fencing_ = 0;
  FencingToken max_effective_fencing_ = 0;
  EngineConfig ordered_config_;
  EngineConfig config_;
  bool order_running_ = false;
  bool away_ = false;
  uint64_t in_flight_ = 0;
};

/// Environment that the implementation and the naive version run in.
class AuthorityTestHarness {
 public:
  explicit AuthorityTestHarness(const Schedule& schedule)
      : loop(schedule.seed), table(loop), engine(loop, schedule.seed % 2 == 0) {
    table.response_loss_probability = 0.05;
    table.max_extra_delay_ms = 1500;
    for (int i = 0; i < kFleetCount; ++i) {
      fleets.push_back(std::make_unique<FakeProcess>(loop));
    }
    for (int i = 0; i < kEntryCount; ++i) {
      entries.push_back(std::make_unique<FakeProcess>(loop));
    }
    for (const Fault& fault : schedule.faults) {
      loop.After(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
    }
    // The desired configuration changes four times during the faults.
    for (int i = 1; i < 5; ++i) {
      loop.After(loop.RandomMs(0, 6000),
                 [this, i] { desired = MakeConfig(i); });
    }
  }

  /// Requests the engine's report for `requester`.  It shows the engine's
  /// present state and arrives after a random delay; never if the requester is
  /// cut off from the network.
  void RequestReport(FakeProcess& requester,
                     std::function<void(const EngineReport&)> done) {
    if (requester.partitioned()) return;
    const int incarnation = requester.incarnation();
    const EngineReport report = engine.Report();
    requester.RunAs(incarnation, loop.RandomMs(0, 50),
                    [done, report] { done(report); });
  }

  VirtualLoop loop;
  FakeTable table;
  FakeEngine engine;
  std::vector<std::unique_ptr<FakeProcess>> fleets;
  std::vector<std::unique_ptr<FakeProcess>> entries;
  EngineConfig desired = MakeConfig(0);
  std::function<void(int)> restart_fleet;
  std::function<void(int)> restart_entry;

 private:
  void Apply(const Fault& fault) {
    if (fault.kind == FaultKind::kStoreDown) {
      table.down = true;
      loop.After(milliseconds(fault.duration_ms),
                 [this] { table.down = false; });
      return;
    }
    if (fault.kind == FaultKind::kEngineCrash) return engine.Crash();
    const int target = fault.target % (kFleetCount + kEntryCount);
    if (target < kFleetCount) {
      fleets[static_cast<size_t>(target)]->Apply(
          fault, [this, target] { restart_fleet(target); });
      return;
    }
    const int entry = target - kFleetCount;
    entries[static_cast<size_t>(entry)]->Apply(
        fault, [this, entry] { restart_entry(entry); });
  }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_TEST_HARNESS_H_
