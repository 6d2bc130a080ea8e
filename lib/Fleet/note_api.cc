// Release notes on the administration API.
#include "corianderlink/Fleet/note_api.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr seconds kAcceptTimeout{5};
constexpr milliseconds kStoreRetryDelay{100};
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

void ReplyJson(HttpExchange& exchange, int status, const Json& body) {
  exchange.Reply(status, "application/json",
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
  const bool post = exchange->method() == "POST";
  if (rest.empty() && post) return Apply(exchange), true;
  if (rest.empty()) return History(exchange), true;
  if (rest == "/check" && post) return Check(exchange), true;
  if (rest.front() != '/') return false;
  const std::string tail = "/status";
  const bool status =
      rest.size() > tail.size() + 1 &&
      rest.compare(rest.size() - tail.size(), tail.size(), tail) == 0;
  if (status) {
    NoteStatus(exchange, NoteId(rest.substr(1, rest.size() - 1 - tail.size())));
    return true;
  }
  Show(exchange, NoteId(rest.substr(1)));
  return true;
}

void NoteApi::Check(const Exchange& exchange) {
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

void NoteApi::Apply(const Exchange& exchange) {
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
  Drive(std::make_shared<Submission>(
      Submission{exchange, *note, NoteAcceptor(*note, now + kAcceptTimeout),
                 EventHandle()}));
}

void NoteApi::Drive(const std::shared_ptr<Submission>& s) {
  const auto again = [this, s](bool answered) {
    if (answered) return Drive(s);
    s->timer = node_.loop().After(kStoreRetryDelay, [this, s] { Drive(s); });
  };
  NoteAcceptor::Action action = s->acceptor.Next(BootClock::now());
  switch (action.kind) {
    case NoteAcceptor::Action::Kind::kReadNote:
      node_.table().ReadPrefix(NoteRowKey(s->note.id),
                               [s, again](const ReadResult& result) {
                                 s->acceptor.OnNoteRow(result);
                                 again(result.rows.has_value());
                               });
      return;
    case NoteAcceptor::Action::Kind::kReadHead:
      node_.table().ReadPrefix(kReleaseHeadKey,
                               [s, again](const ReadResult& result) {
                                 s->acceptor.OnHeadRow(result);
                                 again(result.rows.has_value());
                               });
      return;
    case NoteAcceptor::Action::Kind::kCommit:
      node_.table().Commit(action.txn, [s, again](const CommitResult& result) {
        s->acceptor.OnCommit(result);
        again(result.status == CommitStatus::kCommitted ||
              result.status == CommitStatus::kConflict);
      });
      return;
    case NoteAcceptor::Action::Kind::kDone:
      return Finish(s);
  }
}

void NoteApi::Finish(const std::shared_ptr<Submission>& s) {
  const NoteDecision& decision = s->acceptor.decision();
  HttpExchange& exchange = *s->exchange;
  s->timer.Reset();
  Log(LogLevel::kInfo, "note_decided",
      {{"note", s->note.id.value()},
       {"kind", static_cast<int>(decision.kind)},
       {"revision", decision.revision},
       {"reason", decision.reason}});
  switch (decision.kind) {
    case NoteDecision::Kind::kAccepted:
      if (decision.state) node_.Publish(*decision.state, s->note);
      return ReplyJson(exchange, 200,
                       {{"accepted", true},
                        {"note", s->note.id.value()},
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

Json NoteApi::InstancesAt(Revision revision) const {
  const Time now = BootClock::now();
  Json instances = Json::array();
  const auto add = [&](const std::string& process, const std::string& instance,
                       Revision at, bool live) {
    instances.push_back({{"process", process},
                         {"instance", instance},
                         {"revision", at},
                         {"in_force", at >= revision},
                         {"live", live}});
  };
  add(node_.self().value(), node_.settings().instance, node_.state().revision,
      true);
  for (const auto& [process, peer] : node_.peers().peers()) {
    add(process.value(), peer.heartbeat.instance(), peer.heartbeat.revision(),
        node_.peers().IsLive(now, process));
  }
  return instances;
}

void NoteApi::History(const Exchange& exchange) {
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

void NoteApi::Show(const Exchange& exchange, const NoteId& id) {
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

void NoteApi::NoteStatus(const Exchange& exchange, const NoteId& id) {
  node_.table().ReadPrefix(
      NoteRowKey(id), [this, exchange, id](const ReadResult& result) {
        if (!result.rows) return ReplyUnavailable(*exchange, result.reason);
        for (const TableRow& row : *result.rows) {
          const auto record = DecodeNoteRecord(row.value);
          if (row.key != NoteRowKey(id) || !record) continue;
          const Json instances = InstancesAt(record->revision);
          const bool everywhere = std::all_of(
              instances.begin(), instances.end(), [](const Json& i) {
                return !i["live"].get<bool>() || i["in_force"].get<bool>();
              });
          return ReplyJson(*exchange, 200,
                           {{"note", id.value()},
                            {"revision", record->revision},
                            {"in_force_everywhere", everywhere},
                            {"instances", instances}});
        }
        ReplyProblem(*exchange, {404, "Unknown note",
                                 Outcome::NotRun("no such note was accepted"),
                                 std::nullopt, ""});
      });
}

}  // namespace corianderlink
