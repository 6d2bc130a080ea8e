// Holds the desired state that is in effect in this process.
#ifndef CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_
#define CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_

#include <deque>
#include <optional>
#include <string>

#include "corianderlink/Release/desired_state.h"
#include "peer.pb.h"

namespace corianderlink {

/// Replaces the state only by newer revisions, so that it never reverts.
class ReleaseFollower {
 public:
  /// Applies a complete state if it is newer.  Returns true if the state
  /// changed.
  bool ApplyState(const DesiredState& state);
  /// Applies an update from a peer, which holds either the note of the next
  /// revision or a complete state.  Returns true if the state changed, and sets
  /// `reason` otherwise.
  bool ApplyUpdate(const wire::ReleaseUpdate& update, std::string& reason);

  /// Returns the next update for a peer: the note of its next revision if the
  /// peer has a state and the note is still cached, else the complete state.
  /// Returns nothing if the peer is up to date or if this process has no state.
  std::optional<wire::ReleaseUpdate> UpdateFor(
      const wire::ReleaseRequest& request) const;
  /// Caches the note of a revision, for peers that need only this revision.
  void CacheNote(Revision revision, const ReleaseNote& note);

  const DesiredState& state() const { return state_; }
  /// True once a state was received from a peer or read from the table.
  bool has_state() const { return has_state_; }
  /// The table was read and holds no release head: the state is revision 0.
  void OnEmptyTable() { has_state_ = true; }

 private:
  struct CachedNote {
    Revision revision;
    std::string json;
  };

  DesiredState state_;
  bool has_state_ = false;
  std::deque<CachedNote> notes_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_RELEASE_FOLLOWER_H_
