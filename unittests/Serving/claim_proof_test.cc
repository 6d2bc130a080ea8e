// Checks that a call with an idempotency key runs at most once, and that a call
// reported as not run did not run.
//
// Attempts with one key race on three entries.  The table loses responses and
// applies writes late; calls to the service are refused, lost or delayed.  The
// results are compared with the effects that the service recorded.
#include <gtest/gtest.h>

#include <memory>

#include "Common/fake_process.h"
#include "Common/fake_table.h"
#include "corianderlink/Serving/claim_attempt.h"

namespace corianderlink {
namespace {

constexpr int kEntries = 3;
constexpr char kRow[] = "claims/key";
constexpr seconds kClaimRetention{3600};

/// Records which attempts had an effect at the service.
struct FakeService {
  std::vector<int> effects;
  bool ambiguous = false;
};

/// Result of an attempt as its client received it.
struct AttemptResult {
  bool ended = false;
  ClaimResult result;
};

class Simulation {
 public:
  explicit Simulation(const Schedule& schedule)
      : loop(schedule.seed), table(loop) {
    table.response_loss_probability = 0.1;
    for (int i = 0; i < kEntries; ++i) {
      processes.push_back(std::make_unique<FakeProcess>(loop));
      ledgers.push_back(std::make_unique<ClaimLedger>(kClaimRetention));
    }
    for (const Fault& fault : schedule.faults) {
      killed = killed || fault.kind == FaultKind::kKill;
      loop.After(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
    }
  }

  std::string NameOf(int entry) const {
    return "entry-" + std::to_string(entry) + "." +
           std::to_string(processes[static_cast<size_t>(entry)]->incarnation());
  }
  FakeProcess& Process(int entry) {
    return *processes[static_cast<size_t>(entry)];
  }
  ClaimLedger& Ledger(int entry) {
    return *ledgers[static_cast<size_t>(entry)];
  }

  // Sends a call to the service: it is refused, lost, delayed or answered.
  void Call(int entry, int attempt,
            std::function<void(const CallResponse&)> done) {
    FakeProcess& caller = Process(entry);
    const int incarnation = caller.incarnation();
    const int scenario = loop.RandomIndex(10);
    const auto respond = [&caller, incarnation, done](Outcome outcome, int by) {
      CallResponse result{std::move(outcome), 200, "text/plain",
                          std::to_string(by)};
      caller.RunAs(incarnation, Duration(0), [done, result] { done(result); });
    };
    if (scenario < 3) {
      loop.After(loop.RandomMs(0, 20), [respond, attempt] {
        respond(Outcome::NotRun("connection refused"), attempt);
      });
      return;
    }
    const Duration arrival =
        loop.RandomMs(0, 50) +
        (scenario == 3 ? loop.RandomMs(0, 4000) : Duration(0));
    const bool effect = scenario != 4;
    const bool response_lost = scenario <= 5;
    if (response_lost) service.ambiguous = true;
    loop.After(arrival, [this, attempt, effect, response_lost, respond] {
      if (effect) service.effects.push_back(attempt);
      if (!response_lost) respond(Outcome::Ran(), attempt);
    });
    if (!response_lost) return;
    loop.After(milliseconds(500), [respond, attempt] {
      respond(Outcome::MayHaveRun("timed out"), attempt);
    });
  }

  VirtualLoop loop;
  FakeTable table;
  FakeService service;
  std::vector<std::unique_ptr<FakeProcess>> processes;
  std::vector<std::unique_ptr<ClaimLedger>> ledgers;
  std::vector<std::unique_ptr<ClaimLedger>> retired_ledgers;
  bool killed = false;
  int nonce_count = 0;

 private:
  void Apply(const Fault& fault) {
    if (fault.kind == FaultKind::kStoreDown) {
      table.down = true;
      loop.After(milliseconds(fault.duration_ms),
                 [this] { table.down = false; });
      return;
    }
    const int entry = fault.target % kEntries;
    Process(entry).Apply(fault, [this, entry] {
      auto& ledger = ledgers[static_cast<size_t>(entry)];
      // Attempts of the killed incarnation still refer to the old one.
      retired_ledgers.push_back(std::move(ledger));
      ledger = std::make_unique<ClaimLedger>(kClaimRetention);
    });
  }
};

/// Drives a ClaimAttempt in the same way as ServiceTask.
class AttemptDriver : public std::enable_shared_from_this<AttemptDriver> {
 public:
  AttemptDriver(Simulation& sim, int entry, int number, AttemptResult& out)
      : sim_(sim),
        entry_(entry),
        number_(number),
        out_(out),
        incarnation_(sim.Process(entry).incarnation()),
        claim_(
            kRow, Own(), [this] { return NewNonce(); }, sim.Ledger(entry),
            sim.loop.now() + seconds(2)) {}

  void Drive() {
    const ClaimAttempt::Action action = claim_.Next(sim_.loop.now());
    const auto self = shared_from_this();
    FakeProcess& process = sim_.Process(entry_);
    switch (action.kind) {
      case ClaimAttempt::Action::Kind::kWait:
        return;
      case ClaimAttempt::Action::Kind::kRead:
        sim_.table.ReadPrefix(kRow, [self, &process](const ReadResult& r) {
          process.RunAs(self->incarnation_,
                        self->RetryDelay(r.rows.has_value()), [self, r] {
                          self->claim_.OnRead(r);
                          self->Drive();
                        });
        });
        return;
      case ClaimAttempt::Action::Kind::kCommit:
        sim_.table.Commit(action.txn, [self, &process](const CommitResult& r) {
          const bool answered = r.status == CommitStatus::kCommitted ||
                                r.status == CommitStatus::kConflict;
          process.RunAs(self->incarnation_, self->RetryDelay(answered),
                        [self, r] {
                          self->claim_.OnCommit(r);
                          self->Drive();
                        });
        });
        return;
      case ClaimAttempt::Action::Kind::kQueryOwner:
        return QueryOwner(action);
      case ClaimAttempt::Action::Kind::kDispatch:
        // The process may be frozen between the decision and the send.
        process.RunAs(incarnation_, sim_.loop.RandomMs(0, 3), [self] {
          self->sim_.Call(self->entry_, self->number_,
                          [self](const CallResponse& response) {
                            self->claim_.OnCallResponse(response);
                            self->Drive();
                          });
        });
        return;
      case ClaimAttempt::Action::Kind::kDone:
        out_.ended = true;
        out_.result = claim_.result();
        return;
    }
  }

 private:
  ClaimRecord Own() const {
    ClaimRecord own;
    own.owner = ProcessId(sim_.NameOf(entry_));
    own.owner_address = std::to_string(entry_);
    own.request_digest = "digest";
    return own;
  }

  std::string NewNonce() {
    return "nonce-" + std::to_string(++sim_.nonce_count);
  }

  Duration RetryDelay(bool answered) const {
    return answered ? Duration(0) : Duration(milliseconds(100));
  }

  // The query may be lost, delayed or duplicated, and its response delayed.
  void QueryOwner(const ClaimAttempt::Action& action) {
    const auto self = shared_from_this();
    queried_ = action.nonce;
    const int owner = std::stoi(action.owner_address);
    FakeProcess& process = sim_.Process(entry_);
    process.RunAs(incarnation_, milliseconds(500),
                  [self, nonce = action.nonce] {
                    if (self->queried_ == nonce) self->EndQuery(std::nullopt);
                  });
    const int copies = sim_.loop.RandomBool(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (process.partitioned() || sim_.loop.RandomBool(0.1)) continue;
      sim_.loop.After(sim_.loop.RandomMs(0, 300), [self, owner, &process,
                                                   nonce = action.nonce] {
        FakeProcess& peer = self->sim_.Process(owner);
        if (peer.partitioned()) return;
        peer.Run(Duration(0), [self, owner, &process, nonce] {
          const RevocationStatus status =
              self->sim_.Ledger(owner).TryRevoke(nonce);
          process.RunAs(self->incarnation_, self->sim_.loop.RandomMs(0, 300),
                        [self, nonce, status] {
                          if (self->queried_ == nonce) self->EndQuery(status);
                        });
        });
      });
    }
  }

  void EndQuery(std::optional<RevocationStatus> status) {
    queried_.clear();
    claim_.OnOwnerResponse(status);
    Drive();
  }

  Simulation& sim_;
  const int entry_;
  const int number_;
  AttemptResult& out_;
  const int incarnation_;
  /// Nonce that the outstanding query asks about.
  std::string queried_;
  ClaimAttempt claim_;
};

/// Baseline without the claim protocol: reads and then writes unconditionally,
/// takes a claim over after a timeout, ignores the result of the write, and
/// reports a timeout of the call as not run.
class NaiveAttempt : public std::enable_shared_from_this<NaiveAttempt> {
 public:
  NaiveAttempt(Simulation& sim, int entry, int number, AttemptResult& out)
      : sim_(sim),
        entry_(entry),
        number_(number),
        out_(out),
        started_(sim.loop.now()) {}

  void Drive() {
    const auto self = shared_from_this();
    FakeProcess& process = sim_.Process(entry_);
    sim_.table.ReadPrefix(kRow, [self, &process](const ReadResult& r) {
      process.Run(Duration(0), [self, r] { self->OnRead(r); });
    });
  }

 private:
  void OnRead(const ReadResult& read) {
    const auto self = shared_from_this();
    FakeProcess& process = sim_.Process(entry_);
    const bool timed_out = sim_.loop.now() - started_ > seconds(1);
    const bool free = read.rows && (read.rows->empty() || timed_out);
    if (!free && !timed_out) {
      process.Run(milliseconds(100), [self] { self->Drive(); });
      return;
    }
    TableTransaction txn;
    txn.writes.push_back({kRow, std::to_string(number_)});
    sim_.table.Commit(txn, [self, &process](const CommitResult&) {
      process.Run(Duration(0), [self] {
        self->sim_.Call(
            self->entry_, self->number_, [self](const CallResponse& response) {
              self->out_.ended = true;
              self->out_.result.kind = response.outcome.ran()
                                           ? ClaimResult::Kind::kResponse
                                           : ClaimResult::Kind::kNotRun;
              self->out_.result.response = response;
            });
      });
    });
  }

  Simulation& sim_;
  const int entry_;
  const int number_;
  AttemptResult& out_;
  const Time started_;
};

std::string CheckEffects(const Simulation& sim,
                         const std::vector<AttemptResult>& attempts) {
  const auto& effects = sim.service.effects;
  if (effects.size() > 1) {
    return "ran " + std::to_string(effects.size()) + " times";
  }
  for (size_t i = 0; i < attempts.size(); ++i) {
    if (!attempts[i].ended) continue;
    const ClaimResult& result = attempts[i].result;
    const bool ran = !effects.empty() && effects[0] == static_cast<int>(i);
    if (result.kind == ClaimResult::Kind::kNotRun && ran) {
      return "attempt " + std::to_string(i) + " reported not run but ran";
    }
    if (result.kind != ClaimResult::Kind::kResponse) continue;
    if (effects.empty()) return "a response without an effect";
    if (result.response.body != std::to_string(effects[0])) {
      return "the response of another attempt";
    }
  }
  return "";
}

template <typename Attempt>
std::string RunSchedule(const Schedule& schedule) {
  Simulation sim(schedule);
  std::vector<AttemptResult> attempts(6);
  for (size_t i = 0; i + 1 < attempts.size(); ++i) {
    sim.loop.After(sim.loop.RandomMs(0, 3000), [&, i] {
      const int entry = sim.loop.RandomIndex(kEntries);
      sim.Process(entry).Run(Duration(0), [&, i, entry] {
        std::make_shared<Attempt>(sim, entry, static_cast<int>(i), attempts[i])
            ->Drive();
      });
    });
  }
  const Time end_of_faults = sim.loop.now() + seconds(20);
  sim.loop.RunUntil(end_of_faults);
  std::string violation = CheckEffects(sim, attempts);
  if (!violation.empty()) return violation;
  // Once the faults have ended, repeating a call that was not run has to run
  // it.
  sim.table.response_loss_probability = 0;
  sim.table.down = false;
  for (int round = 0; round < 40; ++round) {
    attempts.back() = {};
    std::make_shared<Attempt>(sim, 0, static_cast<int>(attempts.size()) - 1,
                              attempts.back())
        ->Drive();
    sim.loop.RunUntil(sim.loop.now() + seconds(5));
    // A client may repeat the call with its key until it gets a response.
    const bool answered =
        attempts.back().ended &&
        attempts.back().result.kind == ClaimResult::Kind::kResponse;
    if (answered) break;
  }
  violation = CheckEffects(sim, attempts);
  if (!violation.empty()) return violation;
  const bool must_run = !sim.killed && !sim.service.ambiguous;
  if (must_run && sim.service.effects.size() != 1) {
    return "a call that was not run stays blocked";
  }
  return "";
}

TEST(ClaimProof, AtMostOnceAndNotRunIsTrue) {
  const auto gen = GenSchedule(5, kEntries, 4000);
  const ProofTotals naive = RunSchedules(gen, RunSchedule<NaiveAttempt>);
  const ProofTotals tested = RunSchedules(gen, RunSchedule<AttemptDriver>);
  PrintProof("at-most-once+not-run-true", naive, tested);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(tested.violations, 0u) << tested.first_violation;
}

}  // namespace
}  // namespace corianderlink
