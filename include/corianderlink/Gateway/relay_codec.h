// What the relay needs to know of the protocol between clients and upstreams.
//
// The relay itself knows HTTP only; names and formats of header fields come
// from an implementation of this interface.
#ifndef CORIANDERLINK_GATEWAY_RELAY_CODEC_H_
#define CORIANDERLINK_GATEWAY_RELAY_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http1/message_head.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What a client says of a request in its head.
struct ClientRequest {
  /// Id of this attempt; empty if the client gave none.
  RequestId id;
  /// How long the client waits, from its sending.
  std::optional<Duration> time_left;
  std::string host;
  /// Present if the request carries a prompt.
  std::optional<Prompt> prompt;
};

/// Where an engine fetches a computed prompt.
struct PromptHandle {
  UpstreamRecord source;
  std::string id;
};

/// What the relay adds to a request for an upstream.
struct UpstreamDirections {
  UpstreamId expected;
  std::optional<Duration> time_left;
  /// 0 goes first.
  std::optional<int> priority;
  /// Only compute the prompt.
  bool prefill_only = false;
  std::optional<PromptHandle> prompt_from;
  /// Go on after this event.
  std::optional<uint64_t> resume_after;
};

/// What the head of a response says beyond HTTP.
struct UpstreamReply {
  RequestId request;
  /// The upstream promises that the request did not run.
  bool not_run = false;
  /// Another upstream has the address by now.
  bool replaced = false;
  /// The response bears the upstream's signature.
  bool is_signed = false;
};

struct RelayCodec {
  std::function<ClientRequest(const RequestHead&)> decode_request;
  /// Fields of the request to the upstream.
  std::function<HeaderFields(const RequestHead&, const UpstreamDirections&)>
      encode_request;
  /// Takes the head of a response and the upstream that was meant.
  std::function<UpstreamReply(const ResponseHead&, const UpstreamId&)>
      decode_reply;
  /// Handle in the answer to a request that only computes the prompt.
  std::function<std::optional<std::string>(const std::string& body)>
      decode_handle;
  /// Method and path that free a handle.
  std::function<std::pair<std::string, std::string>(const std::string& handle)>
      encode_free_handle;
  /// Fields that tell a client when to come back.
  std::function<HeaderFields(const RequestId&, std::optional<Duration>)>
      encode_refusal;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RELAY_CODEC_H_
