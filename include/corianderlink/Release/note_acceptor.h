// Commits a release note to the table service exactly once.
//
// One transaction writes the note's row and the new head row, on condition that
// the head is unchanged since it was read and that the note's row does not
// exist.  If the outcome of a commit is unknown, the rows are read again to
// determine it.
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

/// Key of the head row, which holds the complete desired state.
extern const char kReleaseHeadKey[];
/// Key of the row that holds only the current revision, in decimal.  Processes
/// poll this small row and read the head row only if the revision is newer.
extern const char kReleaseRevisionKey[];
/// Key of the row of an accepted note.  The row is never changed.
std::string NoteRowKey(const NoteId& id);

/// A note as stored, with the revision that it created.
struct NoteRecord {
  Revision revision = 0;
  ReleaseNote note;
};

std::string EncodeNoteRecord(const NoteRecord& record);
/// Returns nothing if `text` is malformed.
std::optional<NoteRecord> DecodeNoteRecord(const std::string& text);

/// Outcome of a submission.
struct NoteDecision {
  enum class Kind {
    kAccepted,
    kInvalid,      ///< The note is invalid; see `errors`.
    kConflict,     ///< Items changed since the base revision; see `conflicts`.
    kIdReused,     ///< The id belongs to a note with different contents.
    kUnavailable,  ///< Not accepted by this submission; see `reason`.
    kUnknown,      ///< May have been accepted; resubmit to find out.
  };
  Kind kind = Kind::kUnknown;
  /// Revision of the note if accepted, else of the head row that was read.
  Revision revision = 0;
  std::vector<JsonError> errors;
  /// Sent to clients as "clashes".
  std::vector<NoteConflict> conflicts;
  std::string reason;
  /// The state to publish, if this submission committed the note.
  std::optional<DesiredState> state;
};

/// State machine of one submission; it performs no I/O.  The owner calls
/// `Next`, executes the returned action, passes its result to `OnNoteRow`,
/// `OnHeadRow` or `OnCommit` and repeats this until the action is kDone.
/// Failed requests are retried until the deadline; the owner delays the
/// retries.
class NoteAcceptor {
 public:
  /// The request that the owner has to send next.
  struct Action {
    enum class Kind { kReadNote, kReadHead, kCommit, kDone };
    Kind kind = Kind::kReadNote;
    /// Set for kCommit.
    TableTransaction txn;
  };

  /// At `deadline`, the submission ends with kUnknown if the outcome of a
  /// commit is unknown, and with kUnavailable otherwise.
  NoteAcceptor(ReleaseNote note, Time deadline);

  Action Next(Time now);
  void OnNoteRow(const ReadResult& result);
  void OnHeadRow(const ReadResult& result);
  void OnCommit(const CommitResult& result);

  /// Valid after `Next` has returned kDone.
  const NoteDecision& decision() const { return decision_; }

 private:
  void PrepareCommit(const std::vector<TableRow>& head_rows);
  void End(NoteDecision::Kind kind);

  const ReleaseNote note_;
  const Time deadline_;
  Action::Kind next_action_ = Action::Kind::kReadNote;
  TableTransaction txn_;
  std::optional<DesiredState> next_state_;
  bool commit_outcome_unknown_ = false;
  std::string last_failure_;
  NoteDecision decision_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_NOTE_ACCEPTOR_H_
