// Accepts one release note through the table service, exactly once.
//
// The note's row and the new head row are written in one transaction that
// requires the head to be the one that was read and the note's row to be
// absent.  A lost answer is settled by reading both rows again.
#ifndef CORIANDERLINK_RELEASE_NOTE_ACCEPTOR_H_
#define CORIANDERLINK_RELEASE_NOTE_ACCEPTOR_H_

#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Platform/table.h"
#include "corianderlink/Release/desired_state.h"
#include "corianderlink/Release/release_note.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Key of the row that holds the whole desired state.
extern const char kReleaseHeadKey[];
/// Key of the row that holds only the present revision, in decimal.  Processes
/// poll this one and read the head when it is newer.
extern const char kReleaseRevisionKey[];
/// Key of the immutable row of a note.
std::string NoteRowKey(const NoteId& id);

/// A note as stored: the note and the revision that it became.
struct NoteRecord {
  Revision revision = 0;
  ReleaseNote note;
};

std::string EncodeNoteRecord(const NoteRecord& record);
std::optional<NoteRecord> DecodeNoteRecord(const std::string& text);

/// How an acceptance ended.
struct NoteDecision {
  enum class Kind {
    kAccepted,
    kInvalid,      ///< `errors` says why.
    kClash,        ///< `clashes` says with what.
    kIdReused,     ///< The id belongs to a note with other contents.
    kUnavailable,  ///< `reason`; the note was not accepted by this call.
    kUnknown,      ///< `reason`; submit again to learn the result.
  };
  Kind kind = Kind::kUnknown;
  Revision revision = 0;
  std::vector<JsonError> errors;
  std::vector<NoteClash> clashes;
  std::string reason;
  /// The state to publish if accepted by this call.
  std::optional<DesiredState> state;
};

/// One submission.  Call `Next` for what to do, feed the answer, repeat.
class NoteAcceptor {
 public:
  /// What the caller of this class has to do next.
  struct Action {
    enum class Kind { kReadNote, kReadHead, kCommit, kDone };
    Kind kind = Kind::kReadNote;
    TableTransaction txn;
  };

  /// Gives up with kUnavailable or kUnknown at `deadline`.
  NoteAcceptor(ReleaseNote note, Time deadline);

  Action Next(Time now);
  void OnNoteRow(const ReadResult& result);
  void OnHeadRow(const ReadResult& result);
  void OnCommit(const CommitResult& result);

  /// Valid once `Next` returned kDone.
  const NoteDecision& decision() const { return decision_; }

 private:
  void Decide(const std::vector<TableRow>& head_rows);
  void Finish(NoteDecision::Kind kind);

  const ReleaseNote note_;
  const Time deadline_;
  Action::Kind step_ = Action::Kind::kReadNote;
  TableTransaction txn_;
  std::optional<DesiredState> next_state_;
  bool answer_lost_ = false;
  std::string reason_;
  NoteDecision decision_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_NOTE_ACCEPTOR_H_
