// What upstreams said about themselves in their responses.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_NOTICES_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_NOTICES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Upstreams that are leaving, and upstreams that asked this gateway for a
/// pause.  Either kind gets no new requests.
///
/// A notice arrives with a response, often before the store shows it and also
/// while the store is away.  Only a later start of the upstream ends its
/// leaving; an older record that says ready does not.
class UpstreamNotices {
 public:
  /// The incarnation that started at `started_ms` is leaving; this gateway or a
  /// peer has received the notice.  Returns true if it is new.
  bool OnLeaving(const UpstreamId& upstream, int64_t started_ms);
  /// The upstream asked for no requests during `pause`, which is bounded.
  /// Returns the end of the pause.
  Time OnPauseRequested(Time now, const UpstreamId& upstream, Duration pause);

  /// True if the upstream must not get new requests at `now`.
  bool Blocks(Time now, const UpstreamRecord& upstream) const {
    return IsLeaving(upstream) || PausedUntil(now, upstream.id).has_value();
  }
  bool IsLeaving(const UpstreamRecord& upstream) const;
  /// End of the pause that the upstream asked for; empty if there is none.
  std::optional<Time> PausedUntil(Time now, const UpstreamId& upstream) const;
  /// Start times of the leaving incarnations, to be passed on to peers.
  const std::map<UpstreamId, int64_t>& leaving() const { return leaving_; }

  /// Drops the notices of upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    const auto is_gone = [&](const auto& entry) { return gone(entry.first); };
    std::erase_if(leaving_, is_gone);
    std::erase_if(paused_until_, is_gone);
  }

 private:
  std::map<UpstreamId, int64_t> leaving_;
  std::map<UpstreamId, Time> paused_until_;
};

/// Takes note of a response in which `upstream` says that it leaves.  `source`
/// names the request, for the log.
void ReadLeavingNotice(const UpstreamRecord& upstream,
                       const UpstreamResponseInfo& response,
                       const std::string& source, UpstreamNotices& notices);

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_NOTICES_H_
