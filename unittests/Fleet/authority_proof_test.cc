// Proof: an engine never gets conflicting orders, a stale order, sent under a
// lease that has passed to another process, has no effect, and a planned change
// cuts no request.
//
// Three fleet processes compete for the lease of one engine's shard while two
// entries send requests to the engine.  The violations that the fake engine
// records are checked.  The engine checks fencing tokens in the schedules with
// an even seed.
#include <gtest/gtest.h>

#include <memory>

#include "Fleet/authority_test_harness.h"
#include "corianderlink/Authority/engine_reconciler.h"
#include "corianderlink/Authority/lease_client.h"
#include "corianderlink/Membership/hold_barrier.h"
#include "corianderlink/Membership/hold_table.h"

namespace corianderlink {
namespace {

constexpr char kLeaseRow[] = "leases/shard-0";
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kOrderBackoff{500};
constexpr milliseconds kOrderTimeout{400};
/// Half of the lease guard, as in FleetServer.
constexpr milliseconds kUndeliveredLimit{150};
const Address kEngineAddress{"127.0.0.1", 9};

LeaseTiming TestTiming() {
  LeaseTiming timing;
  timing.lease = milliseconds(900);
  timing.guard = milliseconds(300);
  timing.renew_after = milliseconds(300);
  timing.poll = milliseconds(150);
  return timing;
}

std::string EntryInstance(int entry) { return "entry" + std::to_string(entry); }
Address EntryPeer(int entry) {
  return {"127.0.0.1", static_cast<uint16_t>(100 + entry)};
}

class FleetProcess;

/// An entry that, like ChatScheduler, sends requests to the engine unless a
/// hold is announced for it.
class EntryProcess {
 public:
  EntryProcess(AuthorityTestHarness& harness, int index,
               std::vector<std::unique_ptr<FleetProcess>>& fleets)
      : harness_(harness),
        index_(index),
        incarnation_(Process().incarnation()),
        fleets_(fleets),
        holds_(harness.loop.now(), 2 * kPeerTimeout, seconds(30)) {
    Tick();
    Heartbeat();
  }

  void OnHeartbeat(const ProcessId& fleet, const wire::Heartbeat& heartbeat) {
    holds_.OnHeartbeat(harness_.loop.now(), fleet, heartbeat);
  }

  int incarnation() const { return incarnation_; }

 private:
  FakeProcess& Process() {
    return *harness_.entries[static_cast<size_t>(index_)];
  }

  void Tick() {
    Process().RunAs(incarnation_, harness_.loop.RandomMs(20, 80), [this] {
      SendRequest();
      Tick();
    });
  }

  void SendRequest() {
    const std::set<Address> held = holds_.HeldEngines();
    std::set<std::string> listed_fleets;
    for (int i = 0; i < kFleetCount; ++i) {
      if (harness_.fleets[static_cast<size_t>(i)]->alive()) {
        listed_fleets.insert("fleet" + std::to_string(i));
      }
    }
    if (held.count(kEngineAddress) > 0) return;
    if (!holds_.MaySend(harness_.loop.now(), listed_fleets)) return;
    // Count the request before sending it, so that no hold is acknowledged if
    // the process freezes in between.
    ++requests_in_flight_;
    Process().RunAs(incarnation_, harness_.loop.RandomMs(0, 2), [this] {
      harness_.loop.After(harness_.loop.RandomMs(0, 20), [this] {
        harness_.engine.StartRequest(harness_.loop.RandomMs(20, 400),
                                     [this] { --requests_in_flight_; });
      });
    });
  }

  void Heartbeat();

  AuthorityTestHarness& harness_;
  const int index_;
  const int incarnation_;
  std::vector<std::unique_ptr<FleetProcess>>& fleets_;
  HoldTable holds_;
  int requests_in_flight_ = 0;
};

/// A fleet process that uses the real LeaseClient, DecideEngine, PeerTable and
/// HoldBarrier in the same way as FleetServer.
class FleetProcess {
 public:
  FleetProcess(AuthorityTestHarness& harness, int index,
               std::vector<std::unique_ptr<EntryProcess>>& entries)
      : harness_(harness),
        index_(index),
        incarnation_(Process().incarnation()),
        self_("fleet" + std::to_string(index) + "." +
              std::to_string(incarnation_)),
        entries_(entries),
        peers_(kPeerTimeout),
        lease_(kLeaseRow, self_, TestTiming(), [this] { return Nonce(); }) {
    Tick();
    Heartbeat();
    PollReports();
  }

  int incarnation() const { return incarnation_; }

  void OnHeartbeat(const ProcessId& entry, const wire::Heartbeat& heartbeat) {
    peers_.OnHeartbeat(harness_.loop.now(), entry, heartbeat);
  }

 private:
  FakeProcess& Process() {
    return *harness_.fleets[static_cast<size_t>(index_)];
  }

  std::string Nonce() {
    return self_.value() + "/" + std::to_string(++nonce_count_);
  }

  void RunAfter(Duration delay, std::function<void()> work) {
    Process().RunAs(incarnation_, delay, std::move(work));
  }

  void Tick() {
    RunAfter(kTickInterval, [this] {
      UpdateInstanceList();
      AdvanceLease();
      const Time now = harness_.loop.now();
      const bool held = lease_.IsHeld(now);
      if (!held) order_read_ = false;
      const bool changed = held && order_fencing_ != lease_.fencing();
      if (held && (changed || !order_read_)) ReadOrder();
      if (held && order_read_ && !request_pending_) Reconcile(now);
      Tick();
    });
  }

  // The list omits a dead instance after a lag and shows a restarted one at
  // once.
  void UpdateInstanceList() {
    std::vector<Instance> list;
    for (int i = 0; i < kEntryCount; ++i) {
      const bool alive = harness_.entries[static_cast<size_t>(i)]->alive();
      Time& last = last_alive_[i];
      if (alive) last = harness_.loop.now();
      if (harness_.loop.now() - last > kInstanceListLag) continue;
      Instance instance;
      instance.id = EntryInstance(i);
      list.push_back(instance);
    }
    peers_.OnInstances(std::move(list));
  }

  void AdvanceLease() {
    if (Process().partitioned()) return;
    const LeaseAction action = lease_.Next(harness_.loop.now());
    if (action.kind == LeaseAction::Kind::kRead) {
      harness_.table.ReadPrefix(kLeaseRow, [this](const ReadResult& r) {
        RunAfter(Duration(0),
                 [this, r] { lease_.OnRead(harness_.loop.now(), r); });
      });
    }
    if (action.kind == LeaseAction::Kind::kCommit) {
      harness_.table.Commit(action.txn, [this](const CommitResult& r) {
        RunAfter(Duration(0),
                 [this, r] { lease_.OnCommit(harness_.loop.now(), r); });
      });
    }
  }

  void ReadOrder() {
    if (Process().partitioned()) return;
    const FencingToken fencing = lease_.fencing();
    order_fencing_ = fencing;
    harness_.table.ReadPrefix(OrderRowKey(kEngineAddress),
                              [this, fencing](const ReadResult& r) {
                                RunAfter(Duration(0), [this, fencing, r] {
                                  if (order_fencing_ != fencing) return;
                                  if (!r.rows) {
                                    order_fencing_ = 0;
                                    return;
                                  }
                                  order_.reset();
                                  order_version_ = 0;
                                  barrier_.Reset();
                                  for (const TableRow& row : *r.rows) {
                                    order_ = DecodeOrderRecord(row.value);
                                    order_version_ = row.version;
                                  }
                                  request_pending_ = false;
                                  order_read_ = true;
                                });
                              });
  }

  void PollReports() {
    RunAfter(harness_.loop.RandomMs(50, 100), [this] {
      const Time requested_at = harness_.loop.now();
      harness_.RequestReport(Process(),
                             [this, requested_at](const EngineReport& report) {
                               report_ = report;
                               report_requested_at_ = requested_at;
                             });
      PollReports();
    });
  }

  void Reconcile(Time now) {
    EngineView view;
    view.desired = harness_.desired;
    view.order = order_;
    view.report = report_;
    view.report_requested_at = report_requested_at_;
    view.fencing = lease_.fencing();
    view.not_before = not_before_;
    view.max_report_lag = kMaxReportLag;
    if (order_ && IsOpen(order_->phase)) {
      const bool all_acknowledged =
          MissingAcknowledgements(
              now, peers_,
              barrier_.Announcement(self_, kEngineAddress, order_->sequence,
                                    lease_.fencing()))
              .empty();
      view.acknowledged_at = barrier_.Observe(now, all_acknowledged);
    }
    const EngineDecision decision = DecideEngine(view, now);
    if (decision.kind == EngineDecision::Kind::kWrite) Write(decision.record);
    if (decision.kind == EngineDecision::Kind::kSend) Send(decision.record);
  }

  void Write(const OrderRecord& record) {
    TableTransaction txn;
    const std::string key = OrderRowKey(kEngineAddress);
    txn.conditions.push_back({key, order_version_});
    txn.writes.push_back({key, EncodeOrderRecord(record)});
    request_pending_ = true;
    lease_.Enqueue(txn, [this, record](const CommitResult& result) {
      if (result.status == CommitStatus::kNotRun) {
        request_pending_ = false;
        return;
      }
      if (result.status != CommitStatus::kCommitted) {
        order_read_ = false;
        return;
      }
      request_pending_ = false;
      order_ = record;
      order_version_ = result.version;
      if (!IsOpen(record.phase)) barrier_.Reset();
    });
  }

  // Models LeaseSocketGuard: the order is written before the lease ends or not
  // at all, even after a freeze, and the kernel drops bytes that stay
  // undelivered for too long.  No decision is made while the call is open.  A
  // call that times out is closed with a reset, which drops the undelivered
  // order too.
  void Send(const OrderRecord& record) {
    const Time expiry = lease_.valid_until();
    not_before_ = harness_.loop.now() + kOrderBackoff + kMaxReportLag;
    request_pending_ = true;
    const auto call_open = std::make_shared<bool>(true);
    RunAfter(kOrderTimeout, [this, call_open] {
      if (std::exchange(*call_open, false)) request_pending_ = false;
    });
    RunAfter(harness_.loop.RandomMs(0, 3), [this, record, expiry, call_open] {
      if (harness_.loop.now() >= expiry || Process().partitioned()) return;
      const bool delayed = harness_.loop.RandomBool(0.1);
      const Duration delay = delayed ? harness_.loop.RandomMs(0, 3000)
                                     : harness_.loop.RandomMs(0, 20);
      if (delay > kUndeliveredLimit) return;
      harness_.loop.After(delay, [this, record, call_open] {
        if (!*call_open) return;
        harness_.engine.OnOrder(record);
        RunAfter(harness_.loop.RandomMs(0, 20), [this, call_open] {
          if (std::exchange(*call_open, false)) request_pending_ = false;
        });
      });
    });
  }

  void Heartbeat() {
    RunAfter(kHeartbeatInterval, [this] {
      wire::Heartbeat heartbeat;
      heartbeat.set_instance("fleet" + std::to_string(index_));
      heartbeat.set_kind("fleet");
      const bool announce_hold = lease_.IsHeld(harness_.loop.now()) &&
                                 order_read_ && order_ && IsOpen(order_->phase);
      if (announce_hold) {
        *heartbeat.add_holds() = barrier_.Announcement(
            self_, kEngineAddress, order_->sequence, lease_.fencing());
      } else {
        barrier_.Reset();
      }
      for (int i = 0; i < kEntryCount; ++i) DeliverHeartbeat(i, heartbeat);
      Heartbeat();
    });
  }

  void DeliverHeartbeat(int entry, const wire::Heartbeat& heartbeat) {
    FakeProcess& recipient = *harness_.entries[static_cast<size_t>(entry)];
    if (Process().partitioned() || harness_.loop.RandomBool(0.1)) return;
    harness_.loop.After(
        harness_.loop.RandomMs(0, 50), [this, entry, &recipient, heartbeat] {
          if (recipient.partitioned()) return;
          recipient.Run(Duration(0), [this, entry, heartbeat] {
            entries_[static_cast<size_t>(entry)]->OnHeartbeat(self_, heartbeat);
          });
        });
  }

  AuthorityTestHarness& harness_;
  const int index_;
  const int incarnation_;
  const ProcessId self_;
  std::vector<std::unique_ptr<EntryProcess>>& entries_;
  PeerTable peers_;
  int nonce_count_ = 0;
  LeaseClient lease_;
  std::map<int, Time> last_alive_;
  bool order_read_ = false;
  FencingToken order_fencing_ = 0;
  bool request_pending_ = false;
  std::optional<OrderRecord> order_;
  RowVersion order_version_ = 0;
  std::optional<EngineReport> report_;
  Time report_requested_at_{};
  Time not_before_{};
  HoldBarrier barrier_;
};

void EntryProcess::Heartbeat() {
  Process().RunAs(incarnation_, kHeartbeatInterval, [this] {
    wire::Heartbeat heartbeat;
    heartbeat.set_instance(EntryInstance(index_));
    heartbeat.set_kind("entry");
    heartbeat.set_peer_address(EntryPeer(index_).ToString());
    std::set<Address> busy_engines;
    if (requests_in_flight_ > 0) busy_engines.insert(kEngineAddress);
    holds_.Acknowledge(busy_engines, heartbeat);
    const ProcessId self(EntryInstance(index_) + "." +
                         std::to_string(incarnation_));
    for (int i = 0; i < kFleetCount; ++i) {
      if (Process().partitioned() || harness_.loop.RandomBool(0.1)) continue;
      FakeProcess& recipient = *harness_.fleets[static_cast<size_t>(i)];
      harness_.loop.After(harness_.loop.RandomMs(0, 50), [this, i, &recipient,
                                                          self, heartbeat] {
        if (recipient.partitioned()) return;
        recipient.Run(Duration(0), [this, i, self, heartbeat] {
          fleets_[static_cast<size_t>(i)]->OnHeartbeat(self, heartbeat);
        });
      });
    }
    Heartbeat();
  });
}

std::string RunImplementation(const Schedule& schedule) {
  AuthorityTestHarness harness(schedule);
  std::vector<std::unique_ptr<FleetProcess>> fleets(kFleetCount);
  std::vector<std::unique_ptr<EntryProcess>> entries(kEntryCount);
  // Pending events may still refer to previous incarnations.
  std::vector<std::unique_ptr<FleetProcess>> previous_fleets;
  std::vector<std::unique_ptr<EntryProcess>> previous_entries;
  harness.restart_fleet = [&](int i) {
    auto& slot = fleets[static_cast<size_t>(i)];
    previous_fleets.push_back(std::move(slot));
    slot = std::make_unique<FleetProcess>(harness, i, entries);
  };
  harness.restart_entry = [&](int i) {
    auto& slot = entries[static_cast<size_t>(i)];
    previous_entries.push_back(std::move(slot));
    slot = std::make_unique<EntryProcess>(harness, i, fleets);
  };
  for (int i = 0; i < kFleetCount; ++i) harness.restart_fleet(i);
  for (int i = 0; i < kEntryCount; ++i) harness.restart_entry(i);
  harness.loop.RunUntil(harness.loop.now() + seconds(10));
  if (!harness.engine.violations.empty()) return harness.engine.Violations();
  // After the faults the engine has to reach the desired configuration without
  // operator action.
  harness.table.response_loss_probability = 0;
  harness.loop.RunUntil(harness.loop.now() + seconds(25));
  if (!harness.engine.violations.empty()) return harness.engine.Violations();
  if (!(harness.engine.config() == harness.desired)) return "never as wanted";
  return "";
}

/// Naive version: its lease has neither guard nor read-back and is counted from
/// the response instead of the request.  Orders are not stored in the table
/// service and are sent without acknowledgements from the entries.
class NaiveFleetProcess {
 public:
  NaiveFleetProcess(AuthorityTestHarness& harness, int index)
      : harness_(harness),
        index_(index),
        incarnation_(Process().incarnation()) {
    Tick();
  }

 private:
  FakeProcess& Process() {
    return *harness_.fleets[static_cast<size_t>(index_)];
  }

  void Tick() {
    Process().RunAs(incarnation_, milliseconds(300), [this] {
      RenewLease();
      if (harness_.loop.now() < valid_until_) SendOrder();
      Tick();
    });
  }

  void RenewLease() {
    if (Process().partitioned()) return;
    const bool is_holder = harness_.loop.now() < valid_until_;
    const TableRow row = harness_.table.Row(kLeaseRow);
    if (row.version != observed_version_) {
      observed_version_ = row.version;
      observed_at_ = harness_.loop.now();
    }
    const bool lease_expired =
        harness_.loop.now() - observed_at_ > milliseconds(900);
    if (!is_holder && !lease_expired) return;
    TableTransaction txn;
    txn.writes.push_back({kLeaseRow, std::to_string(index_)});
    harness_.table.Commit(txn, [this, is_holder](const CommitResult& result) {
      Process().RunAs(incarnation_, Duration(0), [this, is_holder, result] {
        if (result.status == CommitStatus::kNotRun) return;
        if (!is_holder) ++fencing_;
        valid_until_ = harness_.loop.now() + milliseconds(900);
      });
    });
  }

  void SendOrder() {
    harness_.RequestReport(Process(), [this](const EngineReport& report) {
      if (report.config == harness_.desired) return;
      OrderRecord order;
      order.sequence = ++sequence_;
      order.fencing = fencing_;
      order.config = harness_.desired;
      Process().RunAs(
          incarnation_, harness_.loop.RandomMs(0, 3), [this, order] {
            harness_.loop.After(harness_.loop.RandomMs(0, 20), [this, order] {
              harness_.engine.OnOrder(order);
            });
          });
    });
  }

  AuthorityTestHarness& harness_;
  const int index_;
  const int incarnation_;
  Time valid_until_{};
  RowVersion observed_version_ = 0;
  Time observed_at_{};
  FencingToken fencing_ = 0;
  uint64_t sequence_ = 0;
};

std::string RunNaive(const Schedule& schedule) {
  AuthorityTestHarness harness(schedule);
  std::vector<std::unique_ptr<NaiveFleetProcess>> fleets;
  harness.restart_fleet = [&](int i) {
    fleets.push_back(std::make_unique<NaiveFleetProcess>(harness, i));
  };
  harness.restart_entry = [](int) {};
  for (int i = 0; i < kFleetCount; ++i) harness.restart_fleet(i);
  // Requests are sent without regard to planned changes.
  std::function<void()> send = [&] {
    harness.engine.StartRequest(harness.loop.RandomMs(20, 400), [] {});
    harness.loop.After(harness.loop.RandomMs(20, 80), send);
  };
  send();
  harness.loop.RunUntil(harness.loop.now() + seconds(10));
  return harness.engine.Violations();
}

TEST(AuthorityProof, NoConflictingOrStaleOrderAndNoCutRequest) {
  const auto schedules = GenSchedule(5, kFleetCount + kEntryCount, 6000);
  const ProofTotals naive = RunSchedules(schedules, RunNaive);
  const ProofTotals actual = RunSchedules(schedules, RunImplementation);
  PrintProof("orders+authority+planned-change", naive, actual);
  // The naive version violates each of the three properties.
  EXPECT_EQ(naive.violations_by_kind.size(), 3u);
  EXPECT_EQ(actual.violations, 0u) << actual.first_violation;
}

}  // namespace
}  // namespace corianderlink
