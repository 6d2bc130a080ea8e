// Proof: a call with a key runs at most once, and "not run" is true.
//
// Three entries, racing attempts with one key, a table with lost answers and
// late writes, a service with refused, lost and late calls.  The service's own
// record is checked.
#include <gtest/gtest.h>

#include <memory>

#include "Common/fake_process.h"
#include "Common/fake_table.h"
#include "corianderlink/Serving/claim_attempt.h"

namespace corianderlink {
namespace {

constexpr int kEntries = 3;
constexpr char kRow[] = "claims/key";
constexpr seconds kMemory{3600};

/// The service's record: which attempt had an effect.
struct FakeService {
  std::vector<int> effects;
  bool ambiguous = false;
};

/// Answer of the whole attempt as its caller got it.
struct AttemptResult {
  bool ended = false;
  ClaimResult result;
};

class World {
 public:
  explicit World(const Schedule& schedule) : loop(schedule.seed), table(loop) {
    table.lose_answer = 0.1;
    for (int i = 0; i < kEntries; ++i) {
      processes.push_back(std::make_unique<FakeProcess>(loop));
      ledgers.push_back(std::make_unique<ClaimLedger>(kMemory));
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

  // A call on its way to the service: refused, lost, answered, or late.
  void Call(int entry, int attempt,
            std::function<void(const ClaimedAnswer&)> done) {
    FakeProcess& caller = Process(entry);
    const int as = caller.incarnation();
    const int fate = loop.Pick(10);
    const auto answer = [&caller, as, done](Outcome outcome, int by) {
      ClaimedAnswer result{std::move(outcome), 200, "text/plain",
                           std::to_string(by)};
      caller.RunAs(as, Duration(0), [done, result] { done(result); });
    };
    if (fate < 3) {
      loop.After(loop.Millis(0, 20), [answer, attempt] {
        answer(Outcome::NotRun("connection refused"), attempt);
      });
      return;
    }
    const Duration arrival =
        loop.Millis(0, 50) + (fate == 3 ? loop.Millis(0, 4000) : Duration(0));
    const bool effect = fate != 4;
    const bool cut = fate <= 5;
    if (cut) service.ambiguous = true;
    loop.After(arrival, [this, attempt, effect, cut, answer] {
      if (effect) service.effects.push_back(attempt);
      if (!cut) answer(Outcome::Ran(), attempt);
    });
    if (!cut) return;
    loop.After(milliseconds(500), [answer, attempt] {
      answer(Outcome::MayHaveRun("timed out"), attempt);
    });
  }

  VirtualLoop loop;
  FakeTable table;
  FakeService service;
  std::vector<std::unique_ptr<FakeProcess>> processes;
  std::vector<std::unique_ptr<ClaimLedger>> ledgers;
  std::vector<std::unique_ptr<ClaimLedger>> graveyard;
  bool killed = false;
  int nonces = 0;

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
      // Attempts of the dead incarnation still refer to the old one.
      graveyard.push_back(std::move(ledger));
      ledger = std::make_unique<ClaimLedger>(kMemory);
    });
  }
};

/// Runs the real ClaimAttempt as ServiceTask does.
class OurAttempt : public std::enable_shared_from_this<OurAttempt> {
 public:
  OurAttempt(World& world, int entry, int number, AttemptResult& out)
      : world_(world),
        entry_(entry),
        number_(number),
        out_(out),
        as_(world.Process(entry).incarnation()),
        claim_(
            kRow, Own(), [this] { return NewNonce(); }, world.Ledger(entry),
            world.loop.now() + seconds(2)) {}

  void Drive() {
    const ClaimAttempt::Action action = claim_.Next(world_.loop.now());
    const auto self = shared_from_this();
    FakeProcess& process = world_.Process(entry_);
    switch (action.kind) {
      case ClaimAttempt::Action::Kind::kWait:
        return;
      case ClaimAttempt::Action::Kind::kRead:
        world_.table.ReadPrefix(kRow, [self, &process](const ReadResult& r) {
          process.RunAs(self->as_, self->Pace(r.rows.has_value()), [self, r] {
            self->claim_.OnRead(r);
            self->Drive();
          });
        });
        return;
      case ClaimAttempt::Action::Kind::kCommit:
        world_.table.Commit(
            action.txn, [self, &process](const CommitResult& r) {
              const bool answered = r.status == CommitStatus::kCommitted ||
                                    r.status == CommitStatus::kConflict;
              process.RunAs(self->as_, self->Pace(answered), [self, r] {
                self->claim_.OnCommit(r);
                self->Drive();
              });
            });
        return;
      case ClaimAttempt::Action::Kind::kAskOwner:
        return Ask(action);
      case ClaimAttempt::Action::Kind::kDispatch:
        // The process may be frozen between the decision and the write.
        process.RunAs(as_, world_.loop.Millis(0, 3), [self] {
          self->world_.Call(self->entry_, self->number_,
                            [self](const ClaimedAnswer& answer) {
                              self->claim_.OnCallAnswer(answer);
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
    own.owner = ProcessId(world_.NameOf(entry_));
    own.owner_address = std::to_string(entry_);
    own.request_digest = "digest";
    return own;
  }

  std::string NewNonce() { return "nonce-" + std::to_string(++world_.nonces); }

  Duration Pace(bool answered) const {
    return answered ? Duration(0) : Duration(milliseconds(100));
  }

  // Query and answer may be lost, late or doubled.
  void Ask(const ClaimAttempt::Action& action) {
    const auto self = shared_from_this();
    asked_ = action.nonce;
    const int owner = std::stoi(action.owner_address);
    FakeProcess& process = world_.Process(entry_);
    process.RunAs(as_, milliseconds(500), [self, nonce = action.nonce] {
      if (self->asked_ == nonce) self->Answer(std::nullopt);
    });
    const int copies = world_.loop.Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (process.cut() || world_.loop.Chance(0.1)) continue;
      world_.loop.After(world_.loop.Millis(0, 300), [self, owner, &process,
                                                     nonce = action.nonce] {
        FakeProcess& peer = self->world_.Process(owner);
        if (peer.cut()) return;
        peer.Run(Duration(0), [self, owner, &process, nonce] {
          const ClaimAnswerStatus status =
              self->world_.Ledger(owner).PromiseNever(nonce);
          process.RunAs(self->as_, self->world_.loop.Millis(0, 300),
                        [self, nonce, status] {
                          if (self->asked_ == nonce) self->Answer(status);
                        });
        });
      });
    }
  }

  void Answer(std::optional<ClaimAnswerStatus> status) {
    asked_.clear();
    claim_.OnOwnerAnswer(status);
    Drive();
  }

  World& world_;
  const int entry_;
  const int number_;
  AttemptResult& out_;
  const int as_;
  std::string asked_;
  ClaimAttempt claim_;
};

/// Naive version: looks first, then writes; takes a claim over by time; trusts
/// a write whose answer was lost; calls a timeout "not run".
class NaiveAttempt : public std::enable_shared_from_this<NaiveAttempt> {
 public:
  NaiveAttempt(World& world, int entry, int number, AttemptResult& out)
      : world_(world),
        entry_(entry),
        number_(number),
        out_(out),
        began_(world.loop.now()) {}

  void Drive() {
    const auto self = shared_from_this();
    FakeProcess& process = world_.Process(entry_);
    world_.table.ReadPrefix(kRow, [self, &process](const ReadResult& r) {
      process.Run(Duration(0), [self, r] { self->OnRead(r); });
    });
  }

 private:
  void OnRead(const ReadResult& read) {
    const auto self = shared_from_this();
    FakeProcess& process = world_.Process(entry_);
    const bool waited = world_.loop.now() - began_ > seconds(1);
    const bool free = read.rows && (read.rows->empty() || waited);
    if (!free && !waited) {
      process.Run(milliseconds(100), [self] { self->Drive(); });
      return;
    }
    TableTransaction txn;
    txn.writes.push_back({kRow, std::to_string(number_)});
    world_.table.Commit(txn, [self, &process](const CommitResult&) {
      process.Run(Duration(0), [self] {
        self->world_.Call(
            self->entry_, self->number_, [self](const ClaimedAnswer& answer) {
              self->out_.ended = true;
              self->out_.result.kind = answer.outcome.ran()
                                           ? ClaimResult::Kind::kAnswer
                                           : ClaimResult::Kind::kNotRun;
              self->out_.result.answer = answer;
            });
      });
    });
  }

  World& world_;
  const int entry_;
  const int number_;
  AttemptResult& out_;
  const Time began_;
};

std::string CheckRecord(const World& world,
                        const std::vector<AttemptResult>& attempts) {
  const auto& effects = world.service.effects;
  if (effects.size() > 1) {
    return "ran " + std::to_string(effects.size()) + " times";
  }
  for (size_t i = 0; i < attempts.size(); ++i) {
    if (!attempts[i].ended) continue;
    const ClaimResult& result = attempts[i].result;
    const bool ran = !effects.empty() && effects[0] == static_cast<int>(i);
    if (result.kind == ClaimResult::Kind::kNotRun && ran) {
      return "attempt " + std::to_string(i) + " said not run and ran";
    }
    if (result.kind != ClaimResult::Kind::kAnswer) continue;
    if (effects.empty()) return "an answer without an effect";
    if (result.answer.body != std::to_string(effects[0])) {
      return "the answer of another effect";
    }
  }
  return "";
}

template <typename Attempt>
std::string RunSchedule(const Schedule& schedule) {
  World world(schedule);
  std::vector<AttemptResult> attempts(6);
  for (size_t i = 0; i + 1 < attempts.size(); ++i) {
    world.loop.After(world.loop.Millis(0, 3000), [&, i] {
      const int entry = world.loop.Pick(kEntries);
      world.Process(entry).Run(Duration(0), [&, i, entry] {
        std::make_shared<Attempt>(world, entry, static_cast<int>(i),
                                  attempts[i])
            ->Drive();
      });
    });
  }
  const Time quiet = world.loop.now() + seconds(20);
  world.loop.RunUntil(quiet);
  std::string violation = CheckRecord(world, attempts);
  if (!violation.empty()) return violation;
  // Repeated when all is well, a call that was truly not run runs.
  world.table.lose_answer = 0;
  world.table.down = false;
  for (int round = 0; round < 40; ++round) {
    attempts.back() = {};
    std::make_shared<Attempt>(world, 0, static_cast<int>(attempts.size()) - 1,
                              attempts.back())
        ->Drive();
    world.loop.RunUntil(world.loop.now() + seconds(5));
    // A caller may repeat with its key after any answer but a whole one.
    const bool answered =
        attempts.back().ended &&
        attempts.back().result.kind == ClaimResult::Kind::kAnswer;
    if (answered) break;
  }
  violation = CheckRecord(world, attempts);
  if (!violation.empty()) return violation;
  const bool must_run = !world.killed && !world.service.ambiguous;
  if (must_run && world.service.effects.size() != 1) {
    return "a call that was not run stays blocked";
  }
  return "";
}

TEST(ClaimProof, AtMostOnceAndNotRunIsTrue) {
  const auto gen = GenSchedule(5, kEntries, 4000);
  const ProofTotals naive = RunSchedules(gen, RunSchedule<NaiveAttempt>);
  const ProofTotals tested = RunSchedules(gen, RunSchedule<OurAttempt>);
  PrintProof("at-most-once+not-run-true", naive, tested);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(tested.violations, 0u) << tested.first_violation;
}

}  // namespace
}  // namespace corianderlink
