// At which software version streams began.
#ifndef CORIANDERLINK_GATEWAY_STREAM_ORIGINS_H_
#define CORIANDERLINK_GATEWAY_STREAM_ORIGINS_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Identifies a stream at all gateways: digest of the id of the attempt that
/// began it and of its caller.
struct StreamKey {
  uint64_t value = 0;
  auto operator<=>(const StreamKey&) const = default;
};

/// The beginning of a stream.
struct StreamOrigin {
  StreamKey key;
  ServiceId service;
  SoftwareVersion version;
  Time begun_at{};
};

/// Remembers the origins of recent streams, of this gateway and of its peers.
/// Memory is bounded: the oldest ones are dropped first.
class StreamOrigins {
 public:
  using Filter = std::function<bool(const ServiceId&)>;

  /// A stream has begun at this gateway.
  void Add(const StreamOrigin& origin);
  /// A peer or the store knows of the stream.  What the store knows is not to
  /// be logged again.
  void AddKnown(const StreamOrigin& origin, bool is_logged);
  /// Empty if the origin is not known.
  std::optional<StreamOrigin> Find(StreamKey key) const;

  /// Returns origins of this gateway that were not returned before, for the
  /// peers; only those of services that `filter` accepts, `most` at a time.
  std::vector<StreamOrigin> TakeUnsent(size_t most, const Filter& filter);
  /// As above, origins of all gateways that the store does not have.
  std::vector<StreamOrigin> TakeUnlogged(size_t most, const Filter& filter);

  /// Drops the origins of streams that began before `oldest`.
  void Forget(Time oldest);
  size_t size() const { return origins_.size(); }

  static constexpr size_t kMaxOrigins = 32768;

 private:
  struct Hash {
    size_t operator()(const StreamKey& key) const {
      return static_cast<size_t>(key.value);
    }
  };

  /// False if the origin is known already.
  bool Insert(const StreamOrigin& origin);
  static std::vector<StreamOrigin> Take(std::deque<StreamOrigin>& queue,
                                        size_t most, const Filter& filter);
  static void Enqueue(std::deque<StreamOrigin>& queue,
                      const StreamOrigin& origin);

  std::unordered_map<StreamKey, StreamOrigin, Hash> origins_;
  // Keys in the order of arrival, which is nearly that of the beginnings.
  std::deque<StreamKey> order_;
  std::deque<StreamOrigin> unsent_;
  std::deque<StreamOrigin> unlogged_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STREAM_ORIGINS_H_
