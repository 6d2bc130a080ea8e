// Two lease clients and a table service that is restored to older copies, under
// random schedules: at no time do both hold the lease, and fencing tokens only
// grow from one holder to the next.
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>
#include <vector>

#include "corianderlink/Authority/lease_client.h"

namespace corianderlink {
namespace {

constexpr int kSchedules = 10000;

/// Table service with one row, whose copies are taken at random times.
class RestorableTable {
 public:
  ReadResult Read() const {
    ReadResult result;
    result.era = era_;
    result.rows.emplace();
    if (now_.row.version != 0) result.rows->push_back(now_.row);
    return result;
  }
  CommitResult Commit(const TableTransaction& txn) {
    CommitResult result;
    result.era = era_;
    if (txn.conditions.front().version != now_.row.version) {
      result.status = CommitStatus::kConflict;
      return result;
    }
    const TableWrite& write = txn.writes.front();
    now_.row = {write.key, ++now_.version, *write.value};
    result.status = CommitStatus::kCommitted;
    result.version = now_.version;
    return result;
  }
  void TakeCopy() { copy_ = now_; }
  void Restore() {
    now_ = copy_;
    ++era_;
  }

 private:
  struct State {
    RowVersion version = 0;
    TableRow row;
  };
  State now_;
  State copy_;
  uint64_t era_ = 1;
};

/// A process with a lease client, whose responses may be delayed or lost.
class Process {
 public:
  Process(const std::string& name, std::mt19937& random)
      : name_(name), random_(random) {
    Start();
  }

  void Start() {
    client_ = std::make_unique<LeaseClient>(
        "row", ProcessId(name_ + std::to_string(++starts_)), LeaseTiming{},
        [this] { return name_ + std::to_string(random_()); });
    inbox_.clear();
  }

  void Step(Time now, RestorableTable& table) {
    Deliver(now);
    const LeaseAction action = client_->Next(now);
    if (action.kind == LeaseAction::Kind::kNone) return;
    const bool lost = random_() % 10 == 0;
    const Duration delay = milliseconds(random_() % 400);
    Response response{now + delay, {}, {}};
    if (action.kind == LeaseAction::Kind::kRead) {
      response.read = lost ? ReadResult{} : table.Read();
    } else {
      CommitResult result = table.Commit(action.txn);
      response.commit = lost ? CommitResult{} : result;
    }
    inbox_.push_back(response);
  }

  LeaseClient& client() { return *client_; }

 private:
  struct Response {
    Time at{};
    std::optional<ReadResult> read;
    std::optional<CommitResult> commit;
  };

  void Deliver(Time now) {
    std::vector<Response> due;
    std::erase_if(inbox_, [&](const Response& response) {
      if (response.at > now) return false;
      due.push_back(response);
      return true;
    });
    for (const Response& response : due) {
      if (response.read) client_->OnRead(now, *response.read);
      if (response.commit) client_->OnCommit(now, *response.commit);
    }
  }

  const std::string name_;
  std::mt19937& random_;
  std::unique_ptr<LeaseClient> client_;
  std::vector<Response> inbox_;
  int starts_ = 0;
};

struct Outcome {
  int overlaps = 0;
  int repeated_tokens = 0;
  int tenures = 0;
};

Outcome PlaySchedule(uint32_t seed) {
  std::mt19937 random(seed);
  RestorableTable table;
  std::vector<std::unique_ptr<Process>> processes;
  for (const char* name : {"a", "b"}) {
    processes.push_back(std::make_unique<Process>(name, random));
  }
  Outcome outcome;
  FencingToken highest = 0;
  std::optional<size_t> holder;
  Time now = Time(seconds(1000));
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(100);
    if (random() % 20 == 0) table.TakeCopy();
    if (random() % 60 == 0) table.Restore();
    for (size_t i = 0; i < processes.size(); ++i) {
      // A process that is not run is frozen or cut off.
      if (random() % 8 != 0) processes[i]->Step(now, table);
    }
    int held = 0;
    for (size_t i = 0; i < processes.size(); ++i) {
      LeaseClient& client = processes[i]->client();
      if (!client.IsHeld(now)) continue;
      ++held;
      // Gateways tell one another the tokens that they know of.
      processes[1 - i]->client().RaiseFencingFloor(client.fencing_floor());
      if (holder == i && client.fencing() == highest) continue;
      if (client.fencing() <= highest) ++outcome.repeated_tokens;
      highest = std::max(highest, client.fencing());
      holder = i;
      ++outcome.tenures;
    }
    if (held > 1) ++outcome.overlaps;
  }
  return outcome;
}

TEST(LeaseRestoreTest, RestoresLeadToNeitherTwoHoldersNorRepeatedTokens) {
  int failed = 0;
  int tenures = 0;
  for (int i = 0; i < kSchedules; ++i) {
    const Outcome outcome = PlaySchedule(20261204 + static_cast<uint32_t>(i));
    if (outcome.overlaps + outcome.repeated_tokens > 0) ++failed;
    tenures += outcome.tenures;
  }
  EXPECT_EQ(failed, 0);
  EXPECT_GT(tenures, kSchedules);
}

/// Runs a process alone until it holds the lease; returns its fencing token.
FencingToken TakeLease(Time& now, const std::string& name, std::mt19937& random,
                       RestorableTable& table) {
  Process process(name, random);
  for (int step = 0; step < 600; ++step) {
    now += milliseconds(100);
    process.Step(now, table);
    if (process.client().IsHeld(now)) return process.client().fencing();
  }
  return 0;
}

// Guards against a fencing token that two machines use: the row of the lease
// was lost with a restore, and no process remembered its token.
TEST(LeaseRestoreTest, TokensGrowThoughTheRowAndAllProcessesAreLost) {
  std::mt19937 random(20261205);
  RestorableTable table;
  Time now = Time(seconds(1000));
  FencingToken last = 0;
  for (int tenure = 0; tenure < 8; ++tenure) {
    // The copy is from before the tenure in two of three cases.
    if (tenure % 3 != 2) table.TakeCopy();
    for (const char* name : {"a", "b"}) {
      const FencingToken token =
          TakeLease(now, name + std::to_string(tenure), random, table);
      EXPECT_GT(token, last) << name << tenure;
      last = token;
    }
    table.Restore();
  }
}

}  // namespace
}  // namespace corianderlink
