// Proof: an accepted release note is in force everywhere within seconds and
// never reverts; racing notes end in one order; refusals are true.
//
// Four processes accept and follow; operators race, also with the same note;
// pushes are lost, late and reordered.  The table's record is checked.
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
constexpr seconds kInForceWithin{5};
constexpr milliseconds kPoll{1000};
constexpr milliseconds kHeartbeat{200};

/// One submission as its operator saw it.
struct SubmissionResult {
  NoteId note;
  bool ended = false;
  NoteDecision decision;
  Time ended_at{};
};

/// A note on one of a few models, as an operator would write it.
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
  if (note.Touched().empty()) note.withdrawn.insert("models/" + model.value());
  return note;
}

/// Followers and messages between them; shared by both versions.
class World {
 public:
  explicit World(const Schedule& schedule)
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

  // A message that may be lost, late, doubled or overtaken.
  void Send(int from, int to, std::function<void()> receive) {
    const int copies = loop.RandomBool(0.05) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Process(from).partitioned() || loop.RandomBool(0.1)) continue;
      loop.After(loop.RandomMs(0, 50), [this, to, receive] {
        if (!Process(to).partitioned()) Process(to).Run(Duration(0), receive);
      });
    }
  }

  void Push(int from, const wire::ReleaseUpdate& update) {
    for (int to = 0; to < kProcesses; ++to) {
      if (to == from) continue;
      Send(from, to, [this, to, update] {
        std::string reason;
        if (naive) return TakeNaively(to, update);
        Follower(to).OnUpdate(update, reason);
        CheckFollower(to);
      });
    }
  }

  // Naive version: the last push wins, whatever its revision.
  void TakeNaively(int to, const wire::ReleaseUpdate& update) {
    std::string reason;
    const auto state = ParseDesiredState(update.state_json(), reason);
    if (!state) return;
    const Revision before = Follower(to).state().revision;
    Follower(to) = ReleaseFollower();
    Follower(to).OnState(*state);
    if (state->revision < before) violation = "a follower went back";
  }

  void CheckFollower(int i) {
    const DesiredState& state = Follower(i).state();
    Revision& highest = highest_[i];
    if (state.revision < highest) violation = "a follower went back";
    highest = state.revision;
    const auto [it, fresh] = state_at_.emplace(state.revision, state);
    if (!fresh && !(it->second == state)) {
      violation = "two states of one revision";
    }
  }

  /// True if no fault touched the process or the table from `begin` on.
  bool Undisturbed(int process, Time begin) const {
    return last_fault_end[Index(process)] < begin && store_fault_end < begin;
  }

  VirtualLoop loop;
  FakeTable table;
  std::vector<std::unique_ptr<FakeProcess>> processes;
  std::vector<ReleaseFollower> followers;
  std::vector<Time> last_fault_end;
  Time store_fault_end{};
  bool naive = false;
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
      // Diskless: a restarted process knows nothing.
      followers[Index(i)] = ReleaseFollower();
      highest_[i] = 0;
      Poll(i);
      Heartbeat(i);
    });
  }

  void Poll(int i) {
    const auto poll = [this, i] {
      if (!Process(i).partitioned()) {
        const int as = Process(i).incarnation();
        table.ReadPrefix(kReleaseHeadKey, [this, i, as](const ReadResult& r) {
          Process(i).RunAs(as, Duration(0), [this, i, r] { OnHead(i, r); });
        });
      }
      Poll(i);
    };
    Process(i).Run(kPoll, poll);
  }

  void OnHead(int i, const ReadResult& result) {
    if (!result.rows) return;
    if (result.rows->empty()) return Follower(i).OnEmptyTable();
    std::string reason;
    const auto state = ParseDesiredState(result.rows->front().value, reason);
    if (!state) return;
    Follower(i).OnState(*state);
    CheckFollower(i);
  }

  // Digest: a peer that is ahead answers with what is missing.
  void Heartbeat(int i) {
    Process(i).Run(kHeartbeat, [this, i] {
      wire::ReleaseRequest have;
      have.set_have_revision(Follower(i).state().revision);
      have.set_needs_state(!Follower(i).has_state());
      for (int to = 0; to < kProcesses && !naive; ++to) {
        if (to == i) continue;
        Send(i, to, [this, i, to, have] {
          const auto update = Follower(to).UpdateFor(have);
          if (!update) return;
          Send(to, i, [this, i, update] {
            std::string reason;
            Follower(i).OnUpdate(*update, reason);
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

/// Drives the real NoteAcceptor as NoteApi does.
class OurSubmission : public std::enable_shared_from_this<OurSubmission> {
 public:
  OurSubmission(World& world, int process, ReleaseNote note,
                SubmissionResult& out)
      : world_(world),
        process_(process),
        as_(world.Process(process).incarnation()),
        note_(note),
        out_(out),
        acceptor_(note, world.loop.now() + seconds(5)) {}

  void Drive() {
    const auto self = shared_from_this();
    const NoteAcceptor::Action action = acceptor_.Next(world_.loop.now());
    FakeProcess& process = world_.Process(process_);
    const auto again = [self, &process](bool answered) {
      process.RunAs(self->as_, answered ? milliseconds(0) : milliseconds(100),
                    [self] { self->Drive(); });
    };
    switch (action.kind) {
      case NoteAcceptor::Action::Kind::kReadNote:
        world_.table.ReadPrefix(NoteRowKey(note_.id),
                                [self, again](const ReadResult& r) {
                                  self->acceptor_.OnNoteRow(r);
                                  again(r.rows.has_value());
                                });
        return;
      case NoteAcceptor::Action::Kind::kReadHead:
        world_.table.ReadPrefix(kReleaseHeadKey,
                                [self, again](const ReadResult& r) {
                                  self->acceptor_.OnHeadRow(r);
                                  again(r.rows.has_value());
                                });
        return;
      case NoteAcceptor::Action::Kind::kCommit:
        world_.table.Commit(action.txn, [self, again](const CommitResult& r) {
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
    out_.ended_at = world_.loop.now();
    out_.decision = acceptor_.decision();
    if (!out_.decision.state) return;
    ReleaseFollower& follower = world_.Follower(process_);
    if (!follower.OnState(*out_.decision.state)) return;
    follower.RememberNote(follower.state().revision, note_);
    world_.CheckFollower(process_);
    wire::ReleaseUpdate update;
    update.set_revision(out_.decision.revision);
    update.set_note_json(ToJson(note_).dump());
    world_.Push(process_, update);
  }

  World& world_;
  const int process_;
  const int as_;
  const ReleaseNote note_;
  SubmissionResult& out_;
  NoteAcceptor acceptor_;
};

/// Naive version: reads, applies, writes without conditions, and calls a lost
/// answer "not accepted".
class NaiveSubmission : public std::enable_shared_from_this<NaiveSubmission> {
 public:
  NaiveSubmission(World& world, int process, ReleaseNote note,
                  SubmissionResult& out)
      : world_(world), process_(process), note_(std::move(note)), out_(out) {
    world_.naive = true;
  }

  void Drive() {
    const auto self = shared_from_this();
    world_.table.ReadPrefix(kReleaseHeadKey, [self](const ReadResult& r) {
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
    world_.table.Commit(txn, [self, next](const CommitResult& result) {
      if (result.status != CommitStatus::kCommitted) {
        return self->End(NoteDecision::Kind::kUnavailable, 0);
      }
      self->End(NoteDecision::Kind::kAccepted, next->revision);
      wire::ReleaseUpdate update;
      update.set_revision(next->revision);
      update.set_state_json(ToJson(*next).dump());
      self->world_.Push(self->process_, update);
    });
  }

  void End(NoteDecision::Kind kind, Revision revision) {
    out_.ended = true;
    out_.ended_at = world_.loop.now();
    out_.decision.kind = kind;
    out_.decision.revision = revision;
  }

  World& world_;
  const int process_;
  const ReleaseNote note_;
  SubmissionResult& out_;
};

// The notes in the table must be one history that adds up to the head.
std::string CheckHistory(const World& world, std::set<std::string>& stored) {
  std::map<Revision, NoteRecord> history;
  for (const TableRow& row : world.table.Rows("release/notes/")) {
    const auto record = DecodeNoteRecord(row.value);
    stored.insert(record->note.id.value());
    if (!history.emplace(record->revision, *record).second) {
      return "two notes of one revision";
    }
  }
  DesiredState sum;
  for (const auto& [revision, record] : history) {
    std::vector<JsonError> errors;
    const auto next = ApplyNote(sum, record.note, errors);
    if (!next || next->revision != revision) return "history has a hole";
    sum = *next;
  }
  const TableRow head = world.table.Row(kReleaseHeadKey);
  std::string reason;
  const auto state = ParseDesiredState(head.value, reason);
  if (head.version != 0 && !(state && *state == sum)) {
    return "the head is not the sum of the notes";
  }
  return "";
}

std::string CheckAnswers(const std::vector<SubmissionResult>& results,
                         const std::set<std::string>& stored) {
  std::map<NoteId, Revision> accepted;
  std::set<NoteId> maybe;
  for (const SubmissionResult& result : results) {
    const auto kind = result.decision.kind;
    if (!result.ended || kind == NoteDecision::Kind::kUnknown) {
      maybe.insert(result.note);
      continue;
    }
    if (kind != NoteDecision::Kind::kAccepted) continue;
    if (stored.count(result.note.value()) == 0) return "accepted and lost";
    const auto [it, fresh] =
        accepted.emplace(result.note, result.decision.revision);
    if (!fresh && it->second != result.decision.revision) {
      return "accepted twice";
    }
  }
  for (const std::string& id : stored) {
    const NoteId note(id);
    if (accepted.count(note) == 0 && maybe.count(note) == 0) {
      return "refused and yet in force";
    }
  }
  return "";
}

template <typename Submission>
std::string RunSchedule(const Schedule& schedule) {
  World world(schedule);
  std::vector<SubmissionResult> results(12);
  std::string late;
  for (size_t i = 0; i < results.size(); ++i) {
    world.loop.After(world.loop.RandomMs(0, 4000), [&, i] {
      const int process = world.loop.RandomIndex(kProcesses);
      // Every third submission repeats the note of the one before.
      const int number = static_cast<int>(i % 3 == 2 ? i - 1 : i);
      VirtualLoop note_random(schedule.seed + static_cast<uint64_t>(number));
      ReleaseNote note = RandomNote(
          note_random, number,
          i % 3 == 0 ? world.Follower(process).state() : DesiredState());
      results[i].note = note.id;
      if (world.Process(process).partitioned()) return;
      world.Process(process).Run(Duration(0), [&, i, process, note] {
        std::make_shared<Submission>(world, process, note, results[i])->Drive();
      });
    });
  }
  // Watches that every undisturbed process has an accepted note in time.
  for (int step = 1; step <= 150; ++step) {
    world.loop.RunUntil(world.loop.now() + milliseconds(100));
    for (const SubmissionResult& result : results) {
      const bool accepted =
          result.ended && result.decision.kind == NoteDecision::Kind::kAccepted;
      if (!accepted || world.loop.now() < result.ended_at + kInForceWithin) {
        continue;
      }
      for (int i = 0; i < kProcesses; ++i) {
        if (!world.Undisturbed(i, result.ended_at)) continue;
        if (world.Follower(i).state().revision < result.decision.revision) {
          late = "not in force within 5 s";
        }
      }
    }
  }
  if (!world.violation.empty()) return world.violation;
  if (!late.empty()) return late;
  std::set<std::string> stored;
  const std::string history = CheckHistory(world, stored);
  if (!history.empty()) return history;
  return CheckAnswers(results, stored);
}

TEST(ReleaseFollowerTest, ProcessWithoutStateTakesTheWholeStateFromAPeer) {
  ReleaseNote note;
  note.id = NoteId("n");
  note.added.models[ModelId("m")] = {"w"};
  std::vector<JsonError> errors;
  ReleaseFollower ahead;
  ahead.OnState(*ApplyNote(DesiredState(), note, errors));
  ahead.RememberNote(1, note);
  ReleaseFollower fresh;
  wire::ReleaseRequest request;
  request.set_needs_state(true);
  std::string reason;
  // The note alone would not do: the process does not know what it is on top
  // of.
  EXPECT_TRUE(fresh.OnUpdate(ahead.UpdateFor(request).value(), reason))
      << reason;
  EXPECT_EQ(fresh.state(), ahead.state());
  EXPECT_FALSE(ahead.UpdateFor([] {
    wire::ReleaseRequest up_to_date;
    up_to_date.set_have_revision(1);
    return up_to_date;
  }()));
}

TEST(NoteProof, AcceptedNotesAreInForceAndNeverRevert) {
  const auto gen = GenSchedule(4, kProcesses, 5000);
  const ProofTotals naive = RunSchedules(gen, RunSchedule<NaiveSubmission>);
  const ProofTotals ours = RunSchedules(gen, RunSchedule<OurSubmission>);
  PrintProof("note-in-force-never-reverts", naive, ours);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(ours.violations, 0u) << ours.first_violation;
}

}  // namespace
}  // namespace corianderlink
