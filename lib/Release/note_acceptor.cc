// Commits a release note to the table service exactly once.
#include "corianderlink/Release/note_acceptor.h"

#include <utility>

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

const char kReleaseHeadKey[] = "release/head";
const char kReleaseRevisionKey[] = "release/revision";

std::string NoteRowKey(const NoteId& id) {
  return "release/notes/" + id.value();
}

std::string EncodeNoteRecord(const NoteRecord& record) {
  return Json{{"revision", record.revision}, {"note", ToJson(record.note)}}
      .dump();
}

std::optional<NoteRecord> DecodeNoteRecord(const std::string& text) {
  const Json json = ParseJson(text);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned() || !json.contains("note")) {
    return std::nullopt;
  }
  std::vector<JsonError> errors;
  auto note = ParseReleaseNote(json["note"].dump(), errors);
  if (!note) return std::nullopt;
  return NoteRecord{json["revision"].get<Revision>(), std::move(*note)};
}

NoteAcceptor::NoteAcceptor(ReleaseNote note, Time deadline)
    : note_(std::move(note)), deadline_(deadline) {}

NoteAcceptor::Action NoteAcceptor::Next(Time now) {
  if (next_action_ != Action::Kind::kDone && now >= deadline_) {
    decision_.reason =
        last_failure_.empty() ? "deadline exceeded" : last_failure_;
    End(commit_outcome_unknown_ ? NoteDecision::Kind::kUnknown
                                : NoteDecision::Kind::kUnavailable);
  }
  Action action;
  action.kind = next_action_;
  if (next_action_ == Action::Kind::kCommit) action.txn = txn_;
  return action;
}

void NoteAcceptor::OnNoteRow(const ReadResult& result) {
  if (next_action_ != Action::Kind::kReadNote) return;
  if (!result.rows) {
    last_failure_ = result.reason;
    return;
  }
  const std::string key = NoteRowKey(note_.id);
  for (const TableRow& row : *result.rows) {
    if (row.key != key) continue;
    const auto record = DecodeNoteRecord(row.value);
    if (!record || record->note != note_) {
      return End(NoteDecision::Kind::kIdReused);
    }
    decision_.revision = record->revision;
    // The note was committed either by this submission, which did not receive
    // the result, or by an earlier one.
    const bool committed_here =
        next_state_ && next_state_->revision == record->revision;
    if (committed_here) decision_.state = next_state_;
    return End(NoteDecision::Kind::kAccepted);
  }
  next_action_ = Action::Kind::kReadHead;
}

void NoteAcceptor::OnHeadRow(const ReadResult& result) {
  if (next_action_ != Action::Kind::kReadHead) return;
  if (!result.rows) {
    last_failure_ = result.reason;
    return;
  }
  PrepareCommit(*result.rows);
}

void NoteAcceptor::PrepareCommit(const std::vector<TableRow>& head_rows) {
  DesiredState head;
  RowVersion head_version = 0;
  for (const TableRow& row : head_rows) {
    if (row.key != kReleaseHeadKey) continue;
    std::string reason;
    auto parsed = ParseDesiredState(row.value, reason);
    if (!parsed) {
      last_failure_ = "malformed head row: " + reason;
      return;
    }
    head = std::move(*parsed);
    head_version = row.version;
  }
  if (note_.base_revision > head.revision) {
    decision_.errors.push_back(
        {"/base_revision",
         "at most the current revision " + std::to_string(head.revision)});
    return End(NoteDecision::Kind::kInvalid);
  }
  decision_.revision = head.revision;
  decision_.conflicts = FindConflicts(head, note_);
  for (const NoteConflict& conflict : decision_.conflicts) {
    if (conflict.other_note != note_.id) continue;
    // The same note was committed between the two reads.
    decision_.conflicts.clear();
    next_action_ = Action::Kind::kReadNote;
    return;
  }
  if (!decision_.conflicts.empty()) return End(NoteDecision::Kind::kConflict);
  next_state_ = ApplyNote(head, note_, decision_.errors);
  if (!next_state_) return End(NoteDecision::Kind::kInvalid);
  const NoteRecord record{next_state_->revision, note_};
  txn_ = {};
  txn_.conditions = {{kReleaseHeadKey, head_version},
                     {NoteRowKey(note_.id), 0}};
  txn_.writes = {{kReleaseHeadKey, ToJson(*next_state_).dump()},
                 {kReleaseRevisionKey, std::to_string(next_state_->revision)},
                 {NoteRowKey(note_.id), EncodeNoteRecord(record)}};
  next_action_ = Action::Kind::kCommit;
}

void NoteAcceptor::OnCommit(const CommitResult& result) {
  if (next_action_ != Action::Kind::kCommit) return;
  switch (result.status) {
    case CommitStatus::kCommitted:
      decision_.revision = next_state_->revision;
      decision_.state = next_state_;
      return End(NoteDecision::Kind::kAccepted);
    case CommitStatus::kUnknown:
      // The transaction may still be applied later.  Its conditions then fail
      // if another transaction has updated the head or stored the note.
      commit_outcome_unknown_ = true;
      break;
    case CommitStatus::kConflict:
    case CommitStatus::kNotRun:
      break;
  }
  last_failure_ = result.reason;
  next_action_ = Action::Kind::kReadNote;
}

void NoteAcceptor::End(NoteDecision::Kind kind) {
  decision_.kind = kind;
  next_action_ = Action::Kind::kDone;
}

}  // namespace corianderlink
