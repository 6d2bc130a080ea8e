// The requests that one connection to an upstream has carried.
#ifndef CORIANDERLINK_HTTP1_CARRIED_REQUESTS_H_
#define CORIANDERLINK_HTTP1_CARRIED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corianderlink {

/// Decides which requests a connection may carry, and which responses belong to
/// the request in progress.
///
/// An upstream may write a response once more, at any later time.  A response
/// therefore tells which request it belongs to only if no two requests of the
/// connection have the same id, and says nothing without an id once the
/// connection has carried several requests.
class CarriedRequests {
 public:
  /// Requests with an id that a connection carries at most.
  static constexpr size_t kMaxRequests = 256;

  /// True if the response to a request with this id could not be confused with
  /// one to an earlier request.  An empty id stands for a request whose
  /// response names no id.
  bool CanCarry(std::string_view id) const;

  /// The connection is about to carry a request with this id.
  void Add(std::string_view id);

  /// True if a response that names the request `named`, or none if that is
  /// empty, belongs to the request that was added last.
  bool IsResponse(std::string_view named) const;

  /// False if the connection has carried as many requests as it may.
  bool HasRoom() const { return digests_.size() < kMaxRequests; }

  /// Number of requests added.
  uint64_t count() const { return count_; }

 private:
  // Two ids with the same digest cost a new connection, and nothing else.
  using Digest = uint32_t;
  static Digest DigestOf(std::string_view id);

  std::vector<Digest> digests_;
  // Id of the request that was added last.
  std::string last_;
  uint64_t count_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_CARRIED_REQUESTS_H_
