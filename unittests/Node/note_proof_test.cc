// Checks in random schedules that an accepted release note takes effect in all
// processes within seconds and is never reverted, that concurrent notes are
// totally ordered, and that a note reported as not accepted never takes effect.
//
// Four processes accept notes and follow the desired state.  Operators submit
// notes concurrently, some of them twice.  Messages between processes are lost,
// delayed, duplicated and reordered.  The rows of the table are checked at the
// end.
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "Common/fake_process.h"
#include "Common/fake_table.h"
#include "corianderlink/Node/release_follower.h"
#include "corianderlink/Release/note_acceptor.h"

namespace corianderlink {
namespace {

constexpr int kProcesses = 4;
constexpr seconds kPropagationLimit{5};
constexpr milliseconds kPollInterval{1000};
constexpr milliseconds kHeartbeatInterval{200};

/// Outcome of one submission, as reported to the operator.
struct SubmissionResult {
  NoteId note;
  bool ended = false;
  NoteDecision decision;
  Time ended_at{};
};

/// A note that adds, changes or withdraws one of three models, based on the
/// state `seen`.
ReleaseNote RandomNote(VirtualLoop& loop, int number,
                       const DesiredState& seen) {
  ReleaseNote note;
  note.id = NoteId("n" + std::to_string(number));
  note.base_revision = seen.revision;
  const ModelId model("m" + std::to_string(loop.RandomIndex(3)));
  const ModelSpec spec{"w" + std::to_string(number)};
  const bool exists = seen.items.models.count(model) > 0;
  if (!exists) note.added.models[model] = spec;
  if (exists && loop.RandomBool(0.7)) note.changed.models[model] = spec;
  if (note.ItemKeys().empty()) note.withdrawn.insert("models/" + model.value());
  return note;
}

/// Simulated processes with their followers and the messages between them.
/// Used by both the naive and the real implementation.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const Schedule& schedule)
      : loop(schedule.seed), table(loop), schedule_(schedule) {
    table.response_loss_probability = 0.1;
    followers.resize(kProcesses);
    last_fault_end.resize(kProcesses);
    for (int i = 0; i < kProcesses; ++i) {
      processes.push_back(std::make_unique<FakeProcess>(loop));
      followers[Index(i)].OnEmptyTable();
      Poll(i);
      Heartbeat(i);
    }
    for (const Fault& fault : schedule.faults) {
      loop.After(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
    }
  }

  static size_t Index(int process) { return static_cast<size_t>(process); }
  FakeProcess& Process(int i) { return *processes[Index(i)]; }
  ReleaseFollower& Follower(int i) { return followers[Index(i)]; }

  // Sends a message that may be lost, delayed, duplicated or reordered.
  void Send(int from, int to, std::function<void()> receive) {
    const int copies = loop.RandomBool(0.05) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Process(from).partitioned() || loop.RandomBool(0.1)) continue;
      loop.After(loop.RandomMs(0, 50), [this, to, receive] {
        if (!Process(to).partitioned()) Process(to).Run(Duration(0), receive);
      });
    }
  }

  void Broadcast(int from, const wire::ReleaseUpdate& update) {
    for (int to = 0; to < kProcesses; ++to) {
      if (to == from) continue;
      Send(from, to, [this, to, update] {
        std::string reason;
        if (is_naive) return ApplyNaively(to, update);
        Follower(to).ApplyUpdate(update, reason);
        CheckFollower(to);
      });
    }
  }

  // Naive implementation: applies each update, whatever its revision.
  void ApplyNaively(int to, const wire::ReleaseUpdate& update) {
    std::string reason;
    const auto state = ParseDesiredState(update.state_json(), reason);
    if (!state) return;
    const Revision before = Follower(to).state().revision;
    Follower(to) = ReleaseFollower();
    Follower(to).ApplyState(*state);
    if (state->revision < before) violation = "a follower reverted";
  }

  void CheckFollower(int i) {
    const DesiredState& state = Follower(i).state();
    Revision& highest = highest_[i];
    if (state.revision < highest) violation = "a follower reverted";
    highest = state.revision;
    const auto [it, inserted] = state_at_.emplace(state.revision, state);
    if (!inserted && !(it->second == state)) {
      violation = "two different states of one revision";
    }
  }

  /// True if neither the process nor the table had a fault since `begin`.
  bool WasFaultFree(int process, Time begin) const {
    return last_fault_end[Index(process)] < begin && store_fault_end < begin;
  }

  VirtualLoop loop;
  FakeTable table;
  std::vector<std::unique_ptr<FakeProcess>> processes;
  std::vector<ReleaseFollower> followers;
  std::vector<Time> last_fault_end;
  Time store_fault_end{};
  bool is_naive = false;
  std::string violation;

 private:
  void Apply(const Fault& fault) {
    const Time end = loop.now() + milliseconds(fault.duration_ms);
    if (fault.kind == FaultKind::kStoreDown) {
      table.down = true;
      store_fault_end = std::max(store_fault_end, end);
      loop.After(milliseconds(fault.duration_ms),
                 [this] { table.down = false; });
      return;
    }
    const int i = fault.target % kProcesses;
    last_fault_end[Index(i)] = std::max(last_fault_end[Index(i)], end);
    Process(i).Apply(fault, [this, i] {
      // State is kept in memory only, so a restarted process has none.
      followers[Index(i)] = ReleaseFollower();
      highest_[i] = 0;
      Poll(i);
      Heartbeat(i);
    });
  }

  void Poll(int i) {
    const auto poll = [this, i] {
      if (!Process(i).partitioned()) {
        const int incarnation = Process(i).incarnation();
        table.ReadPrefix(kReleaseHeadKey,
                         [this, i, incarnation](const ReadResult& r) {
                           Process(i).RunAs(incarnation, Duration(0),
                                            [this, i, r] { OnHead(i, r); });
                         });
      }
      Poll(i);
    };
    Process(i).Run(kPollInterval, poll);
  }

  void OnHead(int i, const ReadResult& result) {
    if (!result.rows) return;
    if (result.rows->empty()) return Follower(i).OnEmptyTable();
    std::string reason;
    const auto state = ParseDesiredState(result.rows->front().value, reason);
    if (!state) return;
    Follower(i).ApplyState(*state);
    CheckFollower(i);
  }

  // Sends the revision of this process to all peers.  A peer that is ahead
  // replies with the next update.
  void Heartbeat(int i) {
    Process(i).Run(kHeartbeatInterval, [this, i] {
      wire::ReleaseRequest have;
      have.set_have_revision(Follower(i).state().revision);
      have.set_needs_state(!Follower(i).has_state());
      for (int to = 0; to < kProcesses && !is_naive; ++to) {
        if (to == i) continue;
        Send(i, to, [this, i, to, have] {
          const auto update = Follower(to).UpdateFor(have);
          if (!update) return;
          Send(to, i, [this, i, update] {
            std::string reason;
            Follower(i).ApplyUpdate(*update, reason);
            CheckFollower(i);
          });
        });
      }
      Heartbeat(i);
    });
  }

  const Schedule schedule_;
  std::map<int, Revision> highest_;
  std::map<Revision, DesiredState> state_at_;
};

/// Runs the real NoteAcceptor in the same way as NoteApi.
class AcceptorSubmission
    : public std::enable_shared_from_this<AcceptorSubmission> {
 public:
  AcceptorSubmission(SimulatedCluster& cluster, int process, ReleaseNote note,
                     SubmissionResult& out)
      : cluster_(cluster),
        process_(process),
        incarnation_(cluster.Process(process).incarnation()),
        note_(note),
        out_(out),
        acceptor_(note, cluster.loop.now() + seconds(5)) {}

  void Drive() {
    const auto self = shared_from_this();
    const NoteAcceptor::Action action = acceptor_.Next(cluster_.loop.now());
    FakeProcess& process = cluster_.Process(process_);
    const auto again = [self, &process](bool answered) {
      process.RunAs(self->incarnation_,
                    answered ? milliseconds(0) : milliseconds(100),
                    [self] { self->Drive(); });
    };
    switch (action.kind) {
      case NoteAcceptor::Action::Kind::kReadNote:
        cluster_.table.ReadPrefix(NoteRowKey(note_.id),
                                  [self, again](const ReadResult& r) {
                                    self->acceptor_.OnNoteRow(r);
                                    again(r.rows.has_value());
                                  });
        return;
      case NoteAcceptor::Action::Kind::kReadHead:
        cluster_.table.ReadPrefix(kReleaseHeadKey,
                                  [self, again](const ReadResult& r) {
                                    self->acceptor_.OnHeadRow(r);
                                    again(r.rows.has_value());
                                  });
        return;
      case NoteAcceptor::Action::Kind::kCommit:
        cluster_.table.Commit(action.txn, [self, again](const CommitResult& r) {
          self->acceptor_.OnCommit(r);
          again(r.status == CommitStatus::kCommitted);
        });
        return;
      case NoteAcceptor::Action::Kind::kDone:
        return Finish();
    }
  }

 private:
  void Finish() {
    out_.ended = true;
    out_.ended_at = cluster_.loop.now();
    out_.decision = acceptor_.decision();
    if (!out_.decision.state) return;
    ReleaseFollower& follower = cluster_.Follower(process_);
    if (!follower.ApplyState(*out_.decision.state)) return;
    follower.CacheNote(follower.state().revision, note_);
    cluster_.CheckFollower(process_);
    wire::ReleaseUpdate update;
    update.set_revision(out_.decision.revision);
    update.set_note_json(ToJson(note_).dump());
    cluster_.Broadcast(process_, update);
  }

  SimulatedCluster& cluster_;
  const int process_;
  const int incarnation_;
  const ReleaseNote note_;
  SubmissionResult& out_;
  NoteAcceptor acceptor_;
};

/// Naive implementation: writes without conditions and reports a commit of
/// unknown outcome as not accepted.
class NaiveSubmission : public std::enable_shared_from_this<NaiveSubmission> {
 public:
  NaiveSubmission(SimulatedCluster& cluster, int process, ReleaseNote note,
                  SubmissionResult& out)
      : cluster_(cluster),
        process_(process),
        note_(std::move(note)),
        out_(out) {
    cluster_.is_naive = true;
  }

  void Drive() {
    const auto self = shared_from_this();
    cluster_.table.ReadPrefix(kReleaseHeadKey, [self](const ReadResult& r) {
      if (r.rows) self->OnHead(*r.rows);
    });
  }

 private:
  void OnHead(const std::vector<TableRow>& rows) {
    DesiredState head;
    std::string reason;
    if (!rows.empty()) head = *ParseDesiredState(rows.front().value, reason);
    std::vector<JsonError> errors;
    const auto next = ApplyNote(head, note_, errors);
    if (!next) return End(NoteDecision::Kind::kInvalid, 0);
    TableTransaction txn;
    txn.writes = {
        {kReleaseHeadKey, ToJson(*next).dump()},
        {NoteRowKey(note_.id), EncodeNoteRecord({next->revision, note_})}};
    const auto self = shared_from_this();
    cluster_.table.Commit(txn, [self, next](const CommitResult& result) {
      if (result.status != CommitStatus::kCommitted) {
        return self->End(NoteDecision::Kind::kUnavailable, 0);
      }
      self->End(NoteDecision::Kind::kAccepted, next->revision);
      wire::ReleaseUpdate update;
      update.set_revision(next->revision);
      update.set_state_json(ToJson(*next).dump());
      self->cluster_.Broadcast(self->process_, update);
    });
  }

  void End(NoteDecision::Kind kind, Revision revision) {
    out_.ended = true;
    out_.ended_at = cluster_.loop.now();
    out_.decision.kind = kind;
    out_.decision.revision = revision;
  }

  SimulatedCluster& cluster_;
  const int process_;
  const ReleaseNote note_;
  SubmissionResult& out_;
};

// Checks that the notes in the table form a gapless history whose result is the
// head row.  Adds the ids of all stored notes to `stored`.
std::string CheckHistory(const SimulatedCluster& cluster,
                         std::set<std::string>& stored) {
  std::map<Revision, NoteRecord> history;
  for (const TableRow& row : cluster.table.Rows("release/notes/")) {
    const auto record = DecodeNoteRecord(row.value);
    stored.insert(record->note.id.value());
    if (!history.emplace(record->revision, *record).second) {
      return "two notes of one revision";
    }
  }
  DesiredState replayed;
  for (const auto& [revision, record] : history) {
    std::vector<JsonError> errors;
    const auto next = ApplyNote(replayed, record.note, errors);
    if (!next || next->revision != revision) return "the history has a gap";
    replayed = *next;
  }
  const TableRow head = cluster.table.Row(kReleaseHeadKey);
  std::string reason;
  const auto state = ParseDesiredState(head.value, reason);
  if (head.version != 0 && !(state && *state == replayed)) {
    return "the head differs from the replayed notes";
  }
  return "";
}

// Checks the outcome reported for each submission against the stored notes.
std::string CheckOutcomes(const std::vector<SubmissionResult>& results,
                          const std::set<std::string>& stored) {
  std::map<NoteId, Revision> accepted;
  std::set<NoteId> possibly_accepted;
  for (const SubmissionResult& result : results) {
    const auto kind = result.decision.kind;
    if (!result.ended || kind == NoteDecision::Kind::kUnknown) {
      possibly_accepted.insert(result.note);
      continue;
    }
    if (kind != NoteDecision::Kind::kAccepted) continue;
    if (stored.count(result.note.value()) == 0) return "accepted but missing";
    const auto [it, inserted] =
        accepted.emplace(result.note, result.decision.revision);
    if (!inserted && it->second != result.decision.revision) {
      return "accepted at two revisions";
    }
  }
  for (const std::string& id : stored) {
    const NoteId note(id);
    if (accepted.count(note) == 0 && possibly_accepted.count(note) == 0) {
      return "refused but in force";
    }
  }
  return "";
}

template <typename Submission>
std::string RunSchedule(const Schedule& schedule) {
  SimulatedCluster cluster(schedule);
  std::vector<SubmissionResult> results(12);
  std::string late_propagation;
  for (size_t i = 0; i < results.size(); ++i) {
    cluster.loop.After(cluster.loop.RandomMs(0, 4000), [&, i] {
      const int process = cluster.loop.RandomIndex(kProcesses);
      // Every third submission repeats the note of the previous one.
      const int number = static_cast<int>(i % 3 == 2 ? i - 1 : i);
      VirtualLoop note_random(schedule.seed + static_cast<uint64_t>(number));
      ReleaseNote note = RandomNote(
          note_random, number,
          i % 3 == 0 ? cluster.Follower(process).state() : DesiredState());
      results[i].note = note.id;
      if (cluster.Process(process).partitioned()) return;
      cluster.Process(process).Run(Duration(0), [&, i, process, note] {
        std::make_shared<Submission>(cluster, process, note, results[i])
            ->Drive();
      });
    });
  }
  // Checks that accepted notes reach all processes without faults in time.
  for (int step = 1; step <= 150; ++step) {
    cluster.loop.RunUntil(cluster.loop.now() + milliseconds(100));
    for (const SubmissionResult& result : results) {
      const bool accepted =
          result.ended && result.decision.kind == NoteDecision::Kind::kAccepted;
      if (!accepted ||
          cluster.loop.now() < result.ended_at + kPropagationLimit) {
        continue;
      }
      for (int i = 0; i < kProcesses; ++i) {
        if (!cluster.WasFaultFree(i, result.ended_at)) continue;
        if (cluster.Follower(i).state().revision < result.decision.revision) {
          late_propagation = "not in force within 5 s";
        }
      }
    }
  }
  if (!cluster.violation.empty()) return cluster.violation;
  if (!late_propagation.empty()) return late_propagation;
  std::set<std::string> stored;
  const std::string history = CheckHistory(cluster, stored);
  if (!history.empty()) return history;
  return CheckOutcomes(results, stored);
}

TEST(ReleaseFollowerTest, ProcessWithoutStateGetsTheFullStateFromAPeer) {
  ReleaseNote note;
  note.id = NoteId("n");
  note.added.models[ModelId("m")] = {"w"};
  std::vector<JsonError> errors;
  ReleaseFollower ahead;
  ahead.ApplyState(*ApplyNote(DesiredState(), note, errors));
  ahead.CacheNote(1, note);
  ReleaseFollower empty;
  wire::ReleaseRequest request;
  request.set_needs_state(true);
  std::string reason;
  // The cached note would not suffice, because the follower has no state to
  // apply it to.
  EXPECT_TRUE(empty.ApplyUpdate(ahead.UpdateFor(request).value(), reason))
      << reason;
  EXPECT_EQ(empty.state(), ahead.state());
  EXPECT_FALSE(ahead.UpdateFor([] {
    wire::ReleaseRequest up_to_date;
    up_to_date.set_have_revision(1);
    return up_to_date;
  }()));
}

TEST(NoteProof, AcceptedNotesAreInForceAndNeverRevert) {
  const auto gen = GenSchedule(4, kProcesses, 5000);
  const ProofTotals naive = RunSchedules(gen, RunSchedule<NaiveSubmission>);
  const ProofTotals ours = RunSchedules(gen, RunSchedule<AcceptorSubmission>);
  PrintProof("note-in-force-never-reverts", naive, ours);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(ours.violations, 0u) << ours.first_violation;
}

}  // namespace
}  // namespace corianderlink
