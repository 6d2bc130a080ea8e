// Interface to the platform's protocol between clients, gateways and upstreams.
//
// The relay itself handles plain HTTP; the names and formats of the platform's
// header fields are left to an implementation of this interface.
#ifndef CORIANDERLINK_GATEWAY_RELAY_CODEC_H_
#define CORIANDERLINK_GATEWAY_RELAY_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Gateway/arrival_counts.h"
#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/stream_origins.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http/message_head.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What a gateway tells the peer to which it forwards a request.
struct ForwardingState {
  /// Upstreams at which the request may still run.
  int runs_left = 0;
  /// The request is counted in the forwarding gateway's retry budget.
  bool is_counted = false;
  /// Its calls so far, for the retry budget.
  ArrivalCounts arrivals = {};
};

/// Properties of a request, decoded from its head.
struct ClientRequest {
  /// Id of the client's attempt; empty if the client sent none.
  RequestId id;
  /// Time until the client stops waiting, counted from sending the request.
  std::optional<Duration> time_left;
  /// Value of the Host field, with the port if there is one.
  std::string host;
  /// Credentials that tell the client account; empty if the request has none.
  std::string credentials;
  /// The client has part of the stream and wants the rest.
  bool is_resumption = false;
  /// Id of the client's attempt that began the stream that this one resumes;
  /// empty if it names none.
  RequestId resumes;
  /// Present if the request carries a prompt.
  std::optional<Prompt> prompt;
  /// Present if a gateway has forwarded the request.  Clients may send anything
  /// here, so it counts on connections from gateways only.
  std::optional<ForwardingState> forwarding;

  /// Tokens that an engine may generate for it; 0 if it has no prompt.
  uint32_t OutputTokens() const {
    return prompt ? prompt->max_output_tokens : 0;
  }
};

/// Key of the stream that the attempt `id` of the request's client has begun.
/// Another client that names the same id gets another key.
inline StreamKey KeyOfStream(const RequestId& id,
                             const ClientRequest& request) {
  return {Fnv1aHash(std::to_string(id.value().size()) + ":" + id.value() +
                    request.host + " " + request.credentials)};
}

/// Reference to the KV cache of a prefilled prompt.
struct KvHandle {
  /// The prefill engine that holds the cache.
  UpstreamRecord source;
  /// Id of the cache at that engine.
  std::string id;
};

/// Parameters that the relay adds to a request for an upstream.
struct UpstreamRequestOptions {
  /// The upstream that the request is meant for; another one at the same
  /// address refuses it.  Empty if the request goes to another gateway.
  UpstreamId expected_upstream;
  /// Time until the deadline of the request.
  std::optional<Duration> time_left;
  /// Queue priority at an engine; 0 is the highest.
  std::optional<int> priority;
  /// Compute the prompt and keep its KV cache; generate nothing.
  bool prefill_only = false;
  /// KV cache that a decode engine fetches instead of computing the prompt.
  std::optional<KvHandle> kv_handle;
  /// Id of the last event that the client has; the stream resumes after it.
  std::optional<uint64_t> resume_after_event_id;
  /// Id of the attempt that began the stream, if a gateway resumes it through
  /// another one.
  RequestId resumes;
  /// Set if the request goes to another gateway.
  std::optional<ForwardingState> forwarding;
};

/// Properties of a response, decoded from its head.
struct UpstreamResponseInfo {
  /// Id of the request that the response names; empty if it names none.
  RequestId request;
  /// The upstream guarantees that the request did not run.
  bool not_run = false;
  /// The address now belongs to another upstream.
  bool address_reassigned = false;
  /// The response carries the upstream's signature.
  bool is_signed = false;
  /// The upstream is leaving.
  bool leaving = false;
  /// The upstream asks for no requests for this long.
  std::optional<Duration> pause;
  /// Requests per second that the upstream takes from all gateways together;
  /// empty if the response names no limit.
  std::optional<double> rate_limit;
  /// The response names a rate limit that is not a number in range.
  bool rate_limit_unreadable = false;
};

/// Decodes and encodes the platform's header fields and bodies.
struct RelayCodec {
  std::function<ClientRequest(const RequestHead&)> decode_request;
  /// Returns the header fields of the request to the upstream.
  std::function<HeaderFields(const RequestHead&, const UpstreamRequestOptions&)>
      encode_request;
  /// Decodes the head of a response from the upstream with the given id.
  std::function<UpstreamResponseInfo(const ResponseHead&, const UpstreamId&)>
      decode_response;
  /// Returns the id of the request that a response names; empty if none.
  std::function<std::string(const ResponseHead&)> named_request;
  /// Returns the id of the KV cache from the body of a prefill response, or
  /// nothing if the body is malformed.
  std::function<std::optional<std::string>(const std::string& body)>
      decode_kv_handle;
  /// Returns the method and path of the request that releases a KV cache.
  std::function<std::pair<std::string, std::string>(const std::string& handle)>
      encode_release_kv_handle;
  /// Returns the header fields of an error response of the gateway itself: the
  /// request's id and, if given, the time after which the client may retry.
  std::function<HeaderFields(const RequestId&, std::optional<Duration>)>
      encode_error_fields;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RELAY_CODEC_H_
