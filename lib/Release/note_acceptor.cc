// Acceptance of one release note.
#include "corianderlink/Release/note_acceptor.h"

#include <utility>

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
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
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
  if (step_ != Action::Kind::kDone && now >= deadline_) {
    decision_.reason = reason_.empty() ? "deadline exceeded" : reason_;
    Finish(answer_lost_ ? NoteDecision::Kind::kUnknown
                        : NoteDecision::Kind::kUnavailable);
  }
  Action action;
  action.kind = step_;
  if (step_ == Action::Kind::kCommit) action.txn = txn_;
  return action;
}

void NoteAcceptor::OnNoteRow(const ReadResult& result) {
  if (step_ != Action::Kind::kReadNote) return;
  if (!result.rows) {
    reason_ = result.reason;
    return;
  }
  const std::string key = NoteRowKey(note_.id);
  for (const TableRow& row : *result.rows) {
    if (row.key != key) continue;
    const auto record = DecodeNoteRecord(row.value);
    if (!record || record->note != note_) {
      return Finish(NoteDecision::Kind::kIdReused);
    }
    decision_.revision = record->revision;
    // Accepted by this submission with a lost answer, or by an earlier one.
    const bool own = next_state_ && next_state_->revision == record->revision;
    if (own) decision_.state = next_state_;
    return Finish(NoteDecision::Kind::kAccepted);
  }
  step_ = Action::Kind::kReadHead;
}

void NoteAcceptor::OnHeadRow(const ReadResult& result) {
  if (step_ != Action::Kind::kReadHead) return;
  if (!result.rows) {
    reason_ = result.reason;
    return;
  }
  Decide(*result.rows);
}

void NoteAcceptor::Decide(const std::vector<TableRow>& head_rows) {
  DesiredState head;
  RowVersion head_version = 0;
  for (const TableRow& row : head_rows) {
    if (row.key != kReleaseHeadKey) continue;
    std::string reason;
    auto parsed = ParseDesiredState(row.value, reason);
    if (!parsed) {
      reason_ = "malformed head row: " + reason;
      return;
    }
    head = std::move(*parsed);
    head_version = row.version;
  }
  if (note_.base_revision > head.revision) {
    decision_.errors.push_back(
        {"/base_revision",
         "at most the present revision " + std::to_string(head.revision)});
    return Finish(NoteDecision::Kind::kInvalid);
  }
  decision_.revision = head.revision;
  decision_.clashes = FindClashes(head, note_);
  for (const NoteClash& clash : decision_.clashes) {
    if (clash.other_note != note_.id) continue;
    // This very note landed between the two reads.
    decision_.clashes.clear();
    step_ = Action::Kind::kReadNote;
    return;
  }
  if (!decision_.clashes.empty()) return Finish(NoteDecision::Kind::kClash);
  next_state_ = ApplyNote(head, note_, decision_.errors);
  if (!next_state_) return Finish(NoteDecision::Kind::kInvalid);
  const NoteRecord record{next_state_->revision, note_};
  txn_ = {};
  txn_.conditions = {{kReleaseHeadKey, head_version},
                     {NoteRowKey(note_.id), 0}};
  txn_.writes = {{kReleaseHeadKey, ToJson(*next_state_).dump()},
                 {kReleaseRevisionKey, std::to_string(next_state_->revision)},
                 {NoteRowKey(note_.id), EncodeNoteRecord(record)}};
  step_ = Action::Kind::kCommit;
}

void NoteAcceptor::OnCommit(const CommitResult& result) {
  if (step_ != Action::Kind::kCommit) return;
  switch (result.status) {
    case CommitStatus::kCommitted:
      decision_.revision = next_state_->revision;
      decision_.state = next_state_;
      return Finish(NoteDecision::Kind::kAccepted);
    case CommitStatus::kUnknown:
      // A write that was not seen yet may still land; its conditions keep it
      // from landing beside another one.
      answer_lost_ = true;
      break;
    case CommitStatus::kConflict:
    case CommitStatus::kNotRun:
      break;
  }
  reason_ = result.reason;
  step_ = Action::Kind::kReadNote;
}

void NoteAcceptor::Finish(NoteDecision::Kind kind) {
  decision_.kind = kind;
  step_ = Action::Kind::kDone;
}

}  // namespace corianderlink
