// Proof: an engine never gets conflicting orders, an order without authority
// has no effect, and a planned change cuts no request.
//
// Three fleet processes race for one engine's shard while two entries send it
// requests.  The engine's own record is checked.  Half of the engines check
// fencing tokens.
#include <gtest/gtest.h>

#include <memory>

#include "Fleet/authority_world.h"
#include "corianderlink/Authority/engine_reconciler.h"
#include "corianderlink/Authority/lease_client.h"
#include "corianderlink/Membership/hold_barrier.h"
#include "corianderlink/Membership/hold_table.h"

namespace corianderlink {
namespace {

constexpr char kLeaseRow[] = "leases/shard-0";
constexpr milliseconds kTick{50};
constexpr milliseconds kOrderBackoff{500};
constexpr milliseconds kOrderTimeout{400};
/// Half of the guard, as FleetServer sets it.
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

class OurFleet;

/// An entry that sends requests unless the engine is held, as ChatScheduler
/// does.
class OurEntry {
 public:
  OurEntry(AuthorityWorld& world, int index,
           std::vector<std::unique_ptr<OurFleet>>& fleets)
      : world_(world),
        index_(index),
        as_(Process().incarnation()),
        fleets_(fleets),
        holds_(world.loop.now(), 2 * kPeerTimeout, seconds(30)) {
    Tick();
    Heartbeat();
  }

  void OnHeartbeat(const ProcessId& fleet, const wire::Heartbeat& heartbeat) {
    holds_.OnHeartbeat(world_.loop.now(), fleet, heartbeat);
  }

  int incarnation() const { return as_; }

 private:
  FakeProcess& Process() {
    return *world_.entries[static_cast<size_t>(index_)];
  }

  void Tick() {
    Process().RunAs(as_, world_.loop.RandomMs(20, 80), [this] {
      Send();
      Tick();
    });
  }

  void Send() {
    const std::set<Address> held = holds_.HeldEngines();
    std::set<std::string> listed;
    for (int i = 0; i < kFleets; ++i) {
      if (world_.fleets[static_cast<size_t>(i)]->alive()) {
        listed.insert("fleet" + std::to_string(i));
      }
    }
    if (held.count(kEngineAddress) > 0) return;
    if (!holds_.MaySend(world_.loop.now(), listed)) return;
    // Counted before it is written, so that a freeze in between is covered.
    ++own_in_flight_;
    Process().RunAs(as_, world_.loop.RandomMs(0, 2), [this] {
      world_.loop.After(world_.loop.RandomMs(0, 20), [this] {
        world_.engine.StartRequest(world_.loop.RandomMs(20, 400),
                                   [this] { --own_in_flight_; });
      });
    });
  }

  void Heartbeat();

  AuthorityWorld& world_;
  const int index_;
  const int as_;
  std::vector<std::unique_ptr<OurFleet>>& fleets_;
  HoldTable holds_;
  int own_in_flight_ = 0;
};

/// A fleet process around the real LeaseClient, DecideEngine, PeerTable and
/// barrier, as FleetServer drives them.
class OurFleet {
 public:
  OurFleet(AuthorityWorld& world, int index,
           std::vector<std::unique_ptr<OurEntry>>& entries)
      : world_(world),
        index_(index),
        as_(Process().incarnation()),
        self_("fleet" + std::to_string(index) + "." + std::to_string(as_)),
        entries_(entries),
        peers_(kPeerTimeout),
        lease_(kLeaseRow, self_, TestTiming(), [this] { return Nonce(); }) {
    Tick();
    Heartbeat();
    Poll();
  }

  int incarnation() const { return as_; }

  void OnHeartbeat(const ProcessId& entry, const wire::Heartbeat& heartbeat) {
    peers_.OnHeartbeat(world_.loop.now(), entry, heartbeat);
  }

 private:
  FakeProcess& Process() { return *world_.fleets[static_cast<size_t>(index_)]; }

  std::string Nonce() {
    return self_.value() + "/" + std::to_string(++nonces_);
  }

  void After(Duration delay, std::function<void()> work) {
    Process().RunAs(as_, delay, std::move(work));
  }

  void Tick() {
    After(kTick, [this] {
      UpdateList();
      DriveLease();
      const Time now = world_.loop.now();
      const bool held = lease_.IsHeld(now);
      if (!held) rows_read_ = false;
      const bool changed = held && rows_fencing_ != lease_.fencing();
      if (held && (changed || !rows_read_)) ReadOrder();
      if (held && rows_read_ && !busy_) Reconcile(now);
      Tick();
    });
  }

  // The list lags behind deaths; restarts show up at once.
  void UpdateList() {
    std::vector<Instance> list;
    for (int i = 0; i < kEntries; ++i) {
      const bool alive = world_.entries[static_cast<size_t>(i)]->alive();
      Time& last = last_alive_[i];
      if (alive) last = world_.loop.now();
      if (world_.loop.now() - last > kListLag) continue;
      Instance instance;
      instance.id = EntryInstance(i);
      list.push_back(instance);
    }
    peers_.OnInstances(std::move(list));
  }

  void DriveLease() {
    if (Process().partitioned()) return;
    const LeaseAction action = lease_.Next(world_.loop.now());
    if (action.kind == LeaseAction::Kind::kRead) {
      world_.table.ReadPrefix(kLeaseRow, [this](const ReadResult& r) {
        After(Duration(0), [this, r] { lease_.OnRead(world_.loop.now(), r); });
      });
    }
    if (action.kind == LeaseAction::Kind::kCommit) {
      world_.table.Commit(action.txn, [this](const CommitResult& r) {
        After(Duration(0),
              [this, r] { lease_.OnCommit(world_.loop.now(), r); });
      });
    }
  }

  void ReadOrder() {
    if (Process().partitioned()) return;
    const FencingToken fencing = lease_.fencing();
    rows_fencing_ = fencing;
    world_.table.ReadPrefix(OrderRowKey(kEngineAddress),
                            [this, fencing](const ReadResult& r) {
                              After(Duration(0), [this, fencing, r] {
                                if (rows_fencing_ != fencing) return;
                                if (!r.rows) {
                                  rows_fencing_ = 0;
                                  return;
                                }
                                order_.reset();
                                order_version_ = 0;
                                barrier_.Reset();
                                for (const TableRow& row : *r.rows) {
                                  order_ = DecodeOrderRecord(row.value);
                                  order_version_ = row.version;
                                }
                                busy_ = false;
                                rows_read_ = true;
                              });
                            });
  }

  void Poll() {
    After(world_.loop.RandomMs(50, 100), [this] {
      const Time asked = world_.loop.now();
      world_.AskReport(Process(), [this, asked](const EngineReport& report) {
        report_ = report;
        report_asked_ = asked;
      });
      Poll();
    });
  }

  void Reconcile(Time now) {
    EngineView view;
    view.desired = world_.wanted;
    view.order = order_;
    view.report = report_;
    view.report_requested_at = report_asked_;
    view.fencing = lease_.fencing();
    view.not_before = not_before_;
    view.max_report_lag = kMaxReportLag;
    if (order_ && IsOpen(order_->phase)) {
      const bool complete =
          MissingAcknowledgements(
              now, peers_,
              barrier_.Announcement(self_, kEngineAddress, order_->sequence,
                                    lease_.fencing()))
              .empty();
      view.acknowledged_at = barrier_.Observe(now, complete);
    }
    const EngineDecision decision = DecideEngine(view, now);
    if (decision.kind == EngineDecision::Kind::kWrite) Record(decision.record);
    if (decision.kind == EngineDecision::Kind::kSend) Send(decision.record);
  }

  void Record(const OrderRecord& record) {
    TableTransaction txn;
    const std::string key = OrderRowKey(kEngineAddress);
    txn.conditions.push_back({key, order_version_});
    txn.writes.push_back({key, EncodeOrderRecord(record)});
    busy_ = true;
    lease_.Enqueue(txn, [this, record](const CommitResult& result) {
      if (result.status == CommitStatus::kNotRun) {
        busy_ = false;
        return;
      }
      if (result.status != CommitStatus::kCommitted) {
        rows_read_ = false;
        return;
      }
      busy_ = false;
      order_ = record;
      order_version_ = result.version;
      if (!IsOpen(record.phase)) barrier_.Reset();
    });
  }

  // LeaseSocketGuard: the write happens before the lease's end or not at all,
  // also after a freeze; the kernel drops bytes that are under way for too
  // long. Nothing is decided while the call is open; a call that is given up is
  // closed with a reset, which drops it too.
  void Send(const OrderRecord& record) {
    const Time end = lease_.valid_until();
    not_before_ = world_.loop.now() + kOrderBackoff + kMaxReportLag;
    busy_ = true;
    const auto open = std::make_shared<bool>(true);
    After(kOrderTimeout, [this, open] {
      if (std::exchange(*open, false)) busy_ = false;
    });
    After(world_.loop.RandomMs(0, 3), [this, record, end, open] {
      if (world_.loop.now() >= end || Process().partitioned()) return;
      const bool stuck = world_.loop.RandomBool(0.1);
      const Duration delay =
          stuck ? world_.loop.RandomMs(0, 3000) : world_.loop.RandomMs(0, 20);
      if (delay > kUndeliveredLimit) return;
      world_.loop.After(delay, [this, record, open] {
        if (!*open) return;
        world_.engine.OnOrder(record);
        After(world_.loop.RandomMs(0, 20), [this, open] {
          if (std::exchange(*open, false)) busy_ = false;
        });
      });
    });
  }

  void Heartbeat() {
    After(kHeartbeatInterval, [this] {
      wire::Heartbeat heartbeat;
      heartbeat.set_instance("fleet" + std::to_string(index_));
      heartbeat.set_kind("fleet");
      const bool hold = lease_.IsHeld(world_.loop.now()) && rows_read_ &&
                        order_ && IsOpen(order_->phase);
      if (hold) {
        *heartbeat.add_holds() = barrier_.Announcement(
            self_, kEngineAddress, order_->sequence, lease_.fencing());
      } else {
        barrier_.Reset();
      }
      for (int i = 0; i < kEntries; ++i) Deliver(i, heartbeat);
      Heartbeat();
    });
  }

  void Deliver(int entry, const wire::Heartbeat& heartbeat) {
    FakeProcess& to = *world_.entries[static_cast<size_t>(entry)];
    if (Process().partitioned() || world_.loop.RandomBool(0.1)) return;
    world_.loop.After(
        world_.loop.RandomMs(0, 50), [this, entry, &to, heartbeat] {
          if (to.partitioned()) return;
          to.Run(Duration(0), [this, entry, heartbeat] {
            entries_[static_cast<size_t>(entry)]->OnHeartbeat(self_, heartbeat);
          });
        });
  }

  AuthorityWorld& world_;
  const int index_;
  const int as_;
  const ProcessId self_;
  std::vector<std::unique_ptr<OurEntry>>& entries_;
  PeerTable peers_;
  int nonces_ = 0;
  LeaseClient lease_;
  std::map<int, Time> last_alive_;
  bool rows_read_ = false;
  FencingToken rows_fencing_ = 0;
  bool busy_ = false;
  std::optional<OrderRecord> order_;
  RowVersion order_version_ = 0;
  std::optional<EngineReport> report_;
  Time report_asked_{};
  Time not_before_{};
  HoldBarrier barrier_;
};

void OurEntry::Heartbeat() {
  Process().RunAs(as_, kHeartbeatInterval, [this] {
    wire::Heartbeat heartbeat;
    heartbeat.set_instance(EntryInstance(index_));
    heartbeat.set_kind("entry");
    heartbeat.set_peer_address(EntryPeer(index_).ToString());
    std::set<Address> busy;
    if (own_in_flight_ > 0) busy.insert(kEngineAddress);
    holds_.Acknowledge(busy, heartbeat);
    const ProcessId self(EntryInstance(index_) + "." + std::to_string(as_));
    for (int i = 0; i < kFleets; ++i) {
      if (Process().partitioned() || world_.loop.RandomBool(0.1)) continue;
      FakeProcess& to = *world_.fleets[static_cast<size_t>(i)];
      world_.loop.After(
          world_.loop.RandomMs(0, 50), [this, i, &to, self, heartbeat] {
            if (to.partitioned()) return;
            to.Run(Duration(0), [this, i, self, heartbeat] {
              fleets_[static_cast<size_t>(i)]->OnHeartbeat(self, heartbeat);
            });
          });
    }
    Heartbeat();
  });
}

std::string RunOurs(const Schedule& schedule) {
  AuthorityWorld world(schedule);
  std::vector<std::unique_ptr<OurFleet>> fleets(kFleets);
  std::vector<std::unique_ptr<OurEntry>> entries(kEntries);
  // Dead incarnations may still be referred to by events.
  std::vector<std::unique_ptr<OurFleet>> dead_fleets;
  std::vector<std::unique_ptr<OurEntry>> dead_entries;
  world.restart_fleet = [&](int i) {
    auto& slot = fleets[static_cast<size_t>(i)];
    dead_fleets.push_back(std::move(slot));
    slot = std::make_unique<OurFleet>(world, i, entries);
  };
  world.restart_entry = [&](int i) {
    auto& slot = entries[static_cast<size_t>(i)];
    dead_entries.push_back(std::move(slot));
    slot = std::make_unique<OurEntry>(world, i, fleets);
  };
  for (int i = 0; i < kFleets; ++i) world.restart_fleet(i);
  for (int i = 0; i < kEntries; ++i) world.restart_entry(i);
  world.loop.RunUntil(world.loop.now() + seconds(10));
  if (!world.engine.violations.empty()) return world.engine.Violations();
  // Unattended: once all is well again the engine gets what is wanted.
  world.table.response_loss_probability = 0;
  world.loop.RunUntil(world.loop.now() + seconds(25));
  if (!world.engine.violations.empty()) return world.engine.Violations();
  if (!(world.engine.config() == world.wanted)) return "never as wanted";
  return "";
}

/// Naive version: a lease without guard or read-back, counted from the answer;
/// orders from memory, not recorded, sent without asking the entries.
class NaiveFleet {
 public:
  NaiveFleet(AuthorityWorld& world, int index)
      : world_(world), index_(index), as_(Process().incarnation()) {
    Tick();
  }

 private:
  FakeProcess& Process() { return *world_.fleets[static_cast<size_t>(index_)]; }

  void Tick() {
    Process().RunAs(as_, milliseconds(300), [this] {
      Renew();
      if (world_.loop.now() < valid_until_) Order();
      Tick();
    });
  }

  void Renew() {
    if (Process().partitioned()) return;
    const bool holds = world_.loop.now() < valid_until_;
    const TableRow row = world_.table.Row(kLeaseRow);
    if (row.version != seen_version_) {
      seen_version_ = row.version;
      seen_at_ = world_.loop.now();
    }
    const bool free = world_.loop.now() - seen_at_ > milliseconds(900);
    if (!holds && !free) return;
    TableTransaction txn;
    txn.writes.push_back({kLeaseRow, std::to_string(index_)});
    world_.table.Commit(txn, [this, holds](const CommitResult& result) {
      Process().RunAs(as_, Duration(0), [this, holds, result] {
        if (result.status == CommitStatus::kNotRun) return;
        if (!holds) ++fencing_;
        valid_until_ = world_.loop.now() + milliseconds(900);
      });
    });
  }

  void Order() {
    world_.AskReport(Process(), [this](const EngineReport& report) {
      if (report.config == world_.wanted) return;
      OrderRecord order;
      order.sequence = ++sequence_;
      order.fencing = fencing_;
      order.config = world_.wanted;
      Process().RunAs(as_, world_.loop.RandomMs(0, 3), [this, order] {
        world_.loop.After(world_.loop.RandomMs(0, 20),
                          [this, order] { world_.engine.OnOrder(order); });
      });
    });
  }

  AuthorityWorld& world_;
  const int index_;
  const int as_;
  Time valid_until_{};
  RowVersion seen_version_ = 0;
  Time seen_at_{};
  FencingToken fencing_ = 0;
  uint64_t sequence_ = 0;
};

std::string RunNaive(const Schedule& schedule) {
  AuthorityWorld world(schedule);
  std::vector<std::unique_ptr<NaiveFleet>> fleets;
  world.restart_fleet = [&](int i) {
    fleets.push_back(std::make_unique<NaiveFleet>(world, i));
  };
  world.restart_entry = [](int) {};
  for (int i = 0; i < kFleets; ++i) world.restart_fleet(i);
  // Entries that know nothing of changes.
  std::function<void()> send = [&] {
    world.engine.StartRequest(world.loop.RandomMs(20, 400), [] {});
    world.loop.After(world.loop.RandomMs(20, 80), send);
  };
  send();
  world.loop.RunUntil(world.loop.now() + seconds(10));
  return world.engine.Violations();
}

TEST(AuthorityProof, NoConflictNoStaleOrderNoCut) {
  const auto gen = GenSchedule(5, kFleets + kEntries, 6000);
  const ProofTotals naive = RunSchedules(gen, RunNaive);
  const ProofTotals ours = RunSchedules(gen, RunOurs);
  PrintProof("orders+authority+planned-change", naive, ours);
  // Each of the three points is broken by the naive version.
  EXPECT_EQ(naive.violations_by_kind.size(), 3u);
  EXPECT_EQ(ours.violations, 0u) << ours.first_violation;
}

}  // namespace
}  // namespace corianderlink
