// Engine, table, entries and fault schedule for the proofs of authority.
#ifndef CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_WORLD_H_
#define CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_WORLD_H_

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

constexpr int kFleets = 3;
constexpr int kEntries = 2;
constexpr milliseconds kHeartbeatInterval{100};
constexpr milliseconds kPeerTimeout{500};
/// The platform's list drops a dead instance after this.
constexpr milliseconds kListLag{1500};
constexpr milliseconds kMaxReportLag{300};

inline EngineConfig ConfigNumber(int number) {
  EngineConfig config;
  config.models.insert(ModelId("m" + std::to_string(number)));
  return config;
}

/// An engine with its own record of what went wrong.
class FakeEngine {
 public:
  FakeEngine(VirtualLoop& loop, bool checks_fencing)
      : loop_(loop), checks_fencing_(checks_fencing) {}

  /// A request arrives; refused while the engine is away.
  void StartRequest(Duration length, std::function<void()> ended) {
    if (away_) return ended();
    ++in_flight_;
    const int boot = boot_;
    loop_.After(length, [this, boot, ended] {
      if (boot == boot_) --in_flight_;
      ended();
    });
  }

  /// An order arrives from the holder of lease `fencing`.
  void OnOrder(const OrderRecord& order) {
    if (checks_fencing_ && order.fencing < fencing_) return;
    const bool repeated =
        order.sequence == sequence_ && order.config == ordered_;
    fencing_ = std::max(fencing_, order.fencing);
    if (repeated) return;
    if (checks_fencing_ && order.sequence < sequence_) return;
    if (running_ && !(order.config == ordered_)) {
      violations.insert("conflicting orders at one time");
    }
    if (order.fencing < highest_effective_ || order.sequence < sequence_) {
      violations.insert("an order without authority took effect");
    }
    highest_effective_ = std::max(highest_effective_, order.fencing);
    Begin(order);
  }

  void Crash() {
    ++boot_;
    in_flight_ = 0;
    running_ = away_ = false;
    sequence_ = 0;
    fencing_ = 0;
    ordered_ = config_ = EngineConfig();
  }

  EngineReport Report() const {
    EngineReport report;
    report.boot_id = std::to_string(boot_);
    report.config = config_;
    report.away = away_;
    report.in_flight = in_flight_;
    report.order_sequence = sequence_;
    report.order_fencing = fencing_;
    report.order_state = sequence_ == 0 ? "none"
                         : running_     ? "running"
                                        : "done";
    return report;
  }

  /// All violations, separated by ';'.
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
  int orders_done = 0;

 private:
  void Begin(const OrderRecord& order) {
    sequence_ = order.sequence;
    ordered_ = order.config;
    running_ = true;
    if (InterruptsServing(config_, order.config)) {
      if (in_flight_ > 0) violations.insert("a planned change cut a request");
      away_ = true;
    }
    const int boot = boot_;
    const uint64_t sequence = sequence_;
    loop_.After(loop_.RandomMs(50, 800), [this, boot, sequence] {
      if (boot != boot_ || sequence != sequence_) return;
      config_ = ordered_;
      running_ = away_ = false;
      ++orders_done;
    });
  }

  VirtualLoop& loop_;
  const bool checks_fencing_;
  int boot_ = 1;
  uint64_t sequence_ = 0;
  FencingToken fencing_ = 0;
  FencingToken highest_effective_ = 0;
  EngineConfig ordered_;
  EngineConfig config_;
  bool running_ = false;
  bool away_ = false;
  uint64_t in_flight_ = 0;
};

/// What both versions of the fleet process stand in.
class AuthorityWorld {
 public:
  explicit AuthorityWorld(const Schedule& schedule)
      : loop(schedule.seed), table(loop), engine(loop, schedule.seed % 2 == 0) {
    table.response_loss_probability = 0.05;
    table.max_extra_delay_ms = 1500;
    for (int i = 0; i < kFleets; ++i) {
      fleets.push_back(std::make_unique<FakeProcess>(loop));
    }
    for (int i = 0; i < kEntries; ++i) {
      entries.push_back(std::make_unique<FakeProcess>(loop));
    }
    for (const Fault& fault : schedule.faults) {
      loop.After(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
    }
    // Operators change their mind.
    for (int i = 1; i < 5; ++i) {
      loop.After(loop.RandomMs(0, 6000),
                 [this, i] { wanted = ConfigNumber(i); });
    }
  }

  /// The engine's report as of a lag ago, answered after a delay; nothing if
  /// the asker is cut off.
  void AskReport(FakeProcess& asker,
                 std::function<void(const EngineReport&)> done) {
    if (asker.partitioned()) return;
    const int as = asker.incarnation();
    const EngineReport report = engine.Report();
    // The report shows the state at this moment and arrives up to the lag
    // after the question.
    asker.RunAs(as, loop.RandomMs(0, 50), [done, report] { done(report); });
  }

  VirtualLoop loop;
  FakeTable table;
  FakeEngine engine;
  std::vector<std::unique_ptr<FakeProcess>> fleets;
  std::vector<std::unique_ptr<FakeProcess>> entries;
  EngineConfig wanted = ConfigNumber(0);
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
    const int target = fault.target % (kFleets + kEntries);
    if (target < kFleets) {
      fleets[static_cast<size_t>(target)]->Apply(
          fault, [this, target] { restart_fleet(target); });
      return;
    }
    const int entry = target - kFleets;
    entries[static_cast<size_t>(entry)]->Apply(
        fault, [this, entry] { restart_entry(entry); });
  }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_FLEET_AUTHORITY_WORLD_H_
