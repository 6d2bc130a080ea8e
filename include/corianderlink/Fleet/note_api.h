// Release notes on the administration API.
#ifndef CORIANDERLINK_FLEET_NOTE_API_H_
#define CORIANDERLINK_FLEET_NOTE_API_H_

#include <memory>
#include <string>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Release/note_acceptor.h"

namespace corianderlink {

class NoteApi {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit NoteApi(Node& node) : node_(node) {}

  /// Handles "/v1/notes" and below; false for other paths.
  bool Handle(const Exchange& exchange);

 private:
  /// One acceptance in progress.
  struct Submission;

  void Check(const Exchange& exchange);
  void Apply(const Exchange& exchange);
  void Drive(const std::shared_ptr<Submission>& submission);
  void Finish(const std::shared_ptr<Submission>& submission);
  void History(const Exchange& exchange);
  void Show(const Exchange& exchange, const NoteId& id);
  void NoteStatus(const Exchange& exchange, const NoteId& id);
  Json InstancesAt(Revision revision) const;

  Node& node_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_NOTE_API_H_
