// Endpoints of the administration API that check, submit and show release
// notes.
#include "corianderlink/Fleet/note_api.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr seconds kAcceptTimeout{5};
constexpr milliseconds kTableRetryDelay{100};
constexpr char kNotesPath[] = "/v1/notes";
constexpr char kNoteRowsPrefix[] = "release/notes/";

Json ToJson(const std::vector<JsonError>& errors) {
  Json list = Json::array();
  for (const JsonError& error : errors) {
    list.push_back({{"path", error.path}, {"expected", error.expected}});
  }
  return list;
}

Json ToJson(const std::vector<NoteConflict>& conflicts) {
  Json list = Json::array();
  for (const NoteConflict& conflict : conflicts) {
    list.push_back({{"item", conflict.item},
                    {"other_note", conflict.other_note.value()},
                    {"other_revision", conflict.other_revision}});
  }
  return list;
}

void ReplyJson(HttpExchange& exchange, int http_status, const Json& body) {
  exchange.Reply(http_status, "application/json",
                 body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void ReplyUnavailable(HttpExchange& exchange, const std::string& reason) {
  ReplyProblem(exchange, {503, "Table service not readable",
                          Outcome::NotRun(reason), seconds(1), ""});
}

}  // namespace

struct NoteApi::Submission {
  Exchange exchange;
  ReleaseNote note;
  NoteAcceptor acceptor;
  EventHandle timer;
};

bool NoteApi::Handle(const Exchange& exchange) {
  const std::string& path = exchange->path();
  const std::string base = kNotesPath;
  if (path.compare(0, base.size(), base) != 0) return false;
  const std::string rest = path.substr(base.size());
  const bool is_post = exchange->method() == "POST";
  if (rest.empty() && is_post) return SubmitNote(exchange), true;
  if (rest.empty()) return ListNotes(exchange), true;
  if (rest == "/check" && is_post) return CheckNote(exchange), true;
  if (rest.front() != '/') return false;
  const std::string suffix = "/status";
  const bool is_status =
      rest.size() > suffix.size() + 1 &&
      rest.compare(rest.size() - suffix.size(), suffix.size(), suffix) == 0;
  if (is_status) {
    ShowNoteStatus(exchange,
                   NoteId(rest.substr(1, rest.size() - 1 - suffix.size())));
    return true;
  }
  ShowNote(exchange, NoteId(rest.substr(1)));
  return true;
}

void NoteApi::CheckNote(const Exchange& exchange) {
  std::vector<JsonError> errors;
  const auto note = ParseReleaseNote(exchange->body(), errors);
  std::vector<NoteConflict> conflicts;
  if (note) {
    conflicts = FindConflicts(node_.state(), *note);
    if (conflicts.empty()) ApplyNote(node_.state(), *note, errors);
  }
  ReplyJson(*exchange, 200,
            {{"valid", errors.empty() && conflicts.empty()},
             {"revision", node_.state().revision},
             {"errors", ToJson(errors)},
             {"clashes", ToJson(conflicts)}});
}

void NoteApi::SubmitNote(const Exchange& exchange) {
  std::vector<JsonError> errors;
  auto note = ParseReleaseNote(exchange->body(), errors);
  if (!note) {
    ReplyJson(*exchange, 400,
              {{"accepted", false},
               {"verdict", "not run"},
               {"errors", ToJson(errors)}});
    return;
  }
  const Time now = BootClock::now();
  if (!node_.MayAcceptNotes(now)) {
    ReplyProblem(*exchange,
                 {503, "Not in touch",
                  Outcome::NotRun("this instance hears less than half of the "
                                  "listed instances; use another one"),
                  seconds(1), ""});
    return;
  }
  Advance(std::make_shared<Submission>(
      Submission{exchange, *note, NoteAcceptor(*note, now + kAcceptTimeout),
                 EventHandle()}));
}

void NoteApi::Advance(const std::shared_ptr<Submission>& submission) {
  // Continues at once after a response, else after a delay.
  const auto schedule_next = [this, submission](bool responded) {
    if (responded) return Advance(submission);
    submission->timer = node_.loop().After(
        kTableRetryDelay, [this, submission] { Advance(submission); });
  };
  NoteAcceptor::Action action = submission->acceptor.Next(BootClock::now());
  switch (action.kind) {
    case NoteAcceptor::Action::Kind::kReadNote:
      node_.table().ReadPrefix(
          NoteRowKey(submission->note.id),
          [submission, schedule_next](const ReadResult& result) {
            submission->acceptor.OnNoteRow(result);
            schedule_next(result.rows.has_value());
          });
      return;
    case NoteAcceptor::Action::Kind::kReadHead:
      node_.table().ReadPrefix(kReleaseHeadKey, [submission, schedule_next](
                                                    const ReadResult& result) {
        submission->acceptor.OnHeadRow(result);
        schedule_next(result.rows.has_value());
      });
      return;
    case NoteAcceptor::Action::Kind::kCommit:
      node_.table().Commit(
          action.txn, [submission, schedule_next](const CommitResult& result) {
            submission->acceptor.OnCommit(result);
            schedule_next(result.status == CommitStatus::kCommitted ||
                          result.status == CommitStatus::kConflict);
          });
      return;
    case NoteAcceptor::Action::Kind::kDone:
      return FinishSubmission(submission);
  }
}

void NoteApi::FinishSubmission(const std::shared_ptr<Submission>& submission) {
  const NoteDecision& decision = submission->acceptor.decision();
  HttpExchange& exchange = *submission->exchange;
  submission->timer.Reset();
  Log(LogLevel::kInfo, "note_decided",
      {{"note", submission->note.id.value()},
       {"kind", static_cast<int>(decision.kind)},
       {"revision", decision.revision},
       {"reason", decision.reason}});
  switch (decision.kind) {
    case NoteDecision::Kind::kAccepted:
      if (decision.state) node_.Publish(*decision.state, submission->note);
      return ReplyJson(exchange, 200,
                       {{"accepted", true},
                        {"note", submission->note.id.value()},
                        {"revision", decision.revision}});
    case NoteDecision::Kind::kInvalid:
      return ReplyJson(exchange, 400,
                       {{"accepted", false},
                        {"verdict", "not run"},
                        {"errors", ToJson(decision.errors)}});
    case NoteDecision::Kind::kConflict:
      return ReplyJson(exchange, 409,
                       {{"accepted", false},
                        {"verdict", "not run"},
                        {"revision", decision.revision},
                        {"clashes", ToJson(decision.conflicts)}});
    case NoteDecision::Kind::kIdReused:
      return ReplyJson(exchange, 409,
                       {{"accepted", false},
                        {"verdict", "not run"},
                        {"reason", "the id belongs to another note"}});
    case NoteDecision::Kind::kUnavailable:
      return ReplyUnavailable(exchange, decision.reason);
    case NoteDecision::Kind::kUnknown:
      return ReplyProblem(
          exchange, {503, "Note may have been accepted",
                     Outcome::MayHaveRun(decision.reason), seconds(1), ""});
  }
}

Json NoteApi::InstanceStatuses(Revision revision) const {
  const Time now = BootClock::now();
  Json instances = Json::array();
  const auto add_instance = [&](const std::string& process,
                                const std::string& instance,
                                Revision instance_revision, bool live) {
    instances.push_back({{"process", process},
                         {"instance", instance},
                         {"revision", instance_revision},
                         {"in_force", instance_revision >= revision},
                         {"live", live}});
  };
  add_instance(node_.self().value(), node_.settings().instance,
               node_.state().revision, true);
  for (const auto& [process, peer] : node_.peers().peers()) {
    add_instance(process.value(), peer.heartbeat.instance(),
                 peer.heartbeat.revision(), node_.peers().IsLive(now, process));
  }
  return instances;
}

void NoteApi::ListNotes(const Exchange& exchange) {
  node_.table().ReadPrefix(
      kNoteRowsPrefix, [exchange](const ReadResult& result) {
        if (!result.rows) return ReplyUnavailable(*exchange, result.reason);
        std::vector<NoteRecord> records;
        for (const TableRow& row : *result.rows) {
          auto record = DecodeNoteRecord(row.value);
          if (record) records.push_back(std::move(*record));
        }
        std::sort(records.begin(), records.end(),
                  [](const NoteRecord& a, const NoteRecord& b) {
                    return a.revision < b.revision;
                  });
        Json list = Json::array();
        for (const NoteRecord& record : records) {
          list.push_back({{"revision", record.revision},
                          {"note", record.note.id.value()},
                          {"items", record.note.ItemKeys()}});
        }
        ReplyJson(*exchange, 200, {{"notes", list}});
      });
}

void NoteApi::ShowNote(const Exchange& exchange, const NoteId& id) {
  node_.table().ReadPrefix(
      NoteRowKey(id), [exchange, id](const ReadResult& result) {
        if (!result.rows) return ReplyUnavailable(*exchange, result.reason);
        for (const TableRow& row : *result.rows) {
          if (row.key != NoteRowKey(id)) continue;
          exchange->Reply(200, "application/json", row.value);
          return;
        }
        ReplyProblem(*exchange, {404, "Unknown note",
                                 Outcome::NotRun("no such note was accepted"),
                                 std::nullopt, ""});
      });
}

void NoteApi::ShowNoteStatus(const Exchange& exchange, const NoteId& id) {
  node_.table().ReadPrefix(
      NoteRowKey(id), [this, exchange, id](const ReadResult& result) {
        if (!result.rows) return ReplyUnavailable(*exchange, result.reason);
        for (const TableRow& row : *result.rows) {
          const auto record = DecodeNoteRecord(row.value);
          if (row.key != NoteRowKey(id) || !record) continue;
          const Json instances = InstanceStatuses(record->revision);
          const bool in_force_everywhere = std::all_of(
              instances.begin(), instances.end(), [](const Json& instance) {
                return !instance["live"].get<bool>() ||
                       instance["in_force"].get<bool>();
              });
          return ReplyJson(*exchange, 200,
                           {{"note", id.value()},
                            {"revision", record->revision},
                            {"in_force_everywhere", in_force_everywhere},
                            {"instances", instances}});
        }
        ReplyProblem(*exchange, {404, "Unknown note",
                                 Outcome::NotRun("no such note was accepted"),
                                 std::nullopt, ""});
      });
}

}  // namespace corianderlink
