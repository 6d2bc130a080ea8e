// Encodes and decodes the messages between gateways.
#ifndef CORIANDERLINK_LIB_GATEWAY_PEER_CODEC_H_
#define CORIANDERLINK_LIB_GATEWAY_PEER_CODEC_H_

#include "corianderlink/Gateway/gateway_peers.h"
#include "peer.pb.h"

namespace corianderlink {

/// Kind of a gateway's heartbeats.
inline constexpr char kGatewayHeartbeat[] = "gateway";

/// Times are passed on as ages at `now`.
wire::Heartbeat EncodeHeartbeat(Time now, const GatewayStatus& status);
/// Fields that are missing or malformed have the values of an empty status.
GatewayStatus DecodeHeartbeat(Time now, const wire::Heartbeat& heartbeat);

/// Times are passed on as ages at `now`.
wire::RecordsAnswer EncodeRecords(Time now, const PeerRecords& records);
/// Drops departures without a usable age.
PeerRecords DecodeRecords(Time now, const wire::RecordsAnswer& answer);

/// Times are passed on as ages at `now`; the reply goes to `reply_to`.
wire::PermitRequest EncodePermitRequest(Time now, const PermitRequest& request,
                                        const Address& reply_to);
/// Empty if the limit is malformed.
std::optional<PermitRequest> DecodePermitRequest(Time now,
                                                 const wire::PermitRequest& in);
wire::PermitReply EncodePermitReply(const PermitReply& reply);
PermitReply DecodePermitReply(const wire::PermitReply& in);

}  // namespace corianderlink

#endif  // CORIANDERLINK_LIB_GATEWAY_PEER_CODEC_H_
