// Endpoints of the administration API that check, submit and show release
// notes.
#ifndef CORIANDERLINK_FLEET_NOTE_API_H_
#define CORIANDERLINK_FLEET_NOTE_API_H_

#include <memory>
#include <string>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Release/note_acceptor.h"

namespace corianderlink {

/// Handles the requests under "/v1/notes".  Submissions go through the table
/// service and are answered asynchronously.
class NoteApi {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit NoteApi(Node& node) : node_(node) {}

  /// Handles a request whose path starts with "/v1/notes".  Returns false for
  /// other paths.
  bool Handle(const Exchange& exchange);

 private:
  /// A submitted note whose acceptance is in progress.
  struct Submission;

  void CheckNote(const Exchange& exchange);
  void SubmitNote(const Exchange& exchange);
  /// Runs the acceptor's next action, until it is done.
  void Advance(const std::shared_ptr<Submission>& submission);
  /// Replies with the decision; an accepted note is published to the peers.
  void FinishSubmission(const std::shared_ptr<Submission>& submission);
  void ListNotes(const Exchange& exchange);
  void ShowNote(const Exchange& exchange, const NoteId& id);
  void ShowNoteStatus(const Exchange& exchange, const NoteId& id);
  /// For each known process: its revision, whether that is at least `revision`,
  /// and whether the process is live.  This process comes first.
  Json InstanceStatuses(Revision revision) const;

  Node& node_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_NOTE_API_H_
