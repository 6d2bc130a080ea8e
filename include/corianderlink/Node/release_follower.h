// Keeps the desired state that is in force at this process.
#ifndef CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_
#define CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_

#include <deque>
#include <optional>
#include <string>

#include "corianderlink/Release/desired_state.h"
#include "peer.pb.h"

namespace corianderlink {

/// Applies revisions in order and only upwards.
class ReleaseFollower {
 public:
  /// True if the state changed.
  bool OnState(const DesiredState& state);
  /// An update from a peer: a note that leads to the next revision, or a whole
  /// state.  Returns true if the state changed; `reason` says why not.
  bool OnUpdate(const wire::ReleaseUpdate& update, std::string& reason);

  /// What a peer needs next; nothing if it is up to date.
  std::optional<wire::ReleaseUpdate> UpdateFor(
      const wire::ReleaseRequest& request) const;
  /// Remembers the note that led to a revision, for peers one behind.
  void RememberNote(Revision revision, const ReleaseNote& note);

  const DesiredState& state() const { return state_; }
  bool has_state() const { return has_state_; }
  /// An empty table is a state too: revision 0.
  void OnEmptyTable() { has_state_ = true; }

 private:
  struct RecentNote {
    Revision revision;
    std::string json;
  };

  DesiredState state_;
  bool has_state_ = false;
  std::deque<RecentNote> recent_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_
