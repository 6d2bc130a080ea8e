// Marker by which a client resumes a stream through any entry.
//
// The idea of a reconnect that carries its own routing information is from
// "Deterministic reconnect routing: a transfer marker from RedirectFix"
// (Pixnop).  The marker is a hint, not a credential: it is valid only for the
// account and body that the stream was started with.
#ifndef CORIANDERLINK_SERVING_RESUME_MARKER_H_
#define CORIANDERLINK_SERVING_RESUME_MARKER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Engine that runs a stream, and offset of the next token.
struct ResumeMarker {
  EngineId engine;
  RequestId request;
  uint64_t next_offset = 0;
};

/// Sent as the id of each server-sent event.
std::string EncodeResumeMarker(const ResumeMarker& marker);
/// Decodes a Last-Event-ID header; nothing if it is not a valid marker.
std::optional<ResumeMarker> DecodeResumeMarker(const std::string& text);

/// Returns a request id that is bound to the account and body by a digest.
RequestId MakeRequestId(const std::string& random, const AccountId& account,
                        const std::string& body);
/// True if `request` is bound to this account and body.
bool IsBoundTo(const RequestId& request, const AccountId& account,
               const std::string& body);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_RESUME_MARKER_H_
