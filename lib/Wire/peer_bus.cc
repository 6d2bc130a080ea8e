// ZeroMQ message bus between the processes of a deployment.
#include "corianderlink/Wire/peer_bus.h"

#include <zmq.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "corianderlink/Http/dead_peer_detection.h"
#include "corianderlink/Support/log.h"
#include "peer.pb.h"

namespace corianderlink {
namespace {

constexpr uint32_t kProtocolVersion = 1;
constexpr int kMaxFrameBytes = 16 * 1024 * 1024;
constexpr int kSendQueueFrames = 256;
constexpr int kReconnectMinMs = 50;
constexpr int kReconnectMaxMs = 1000;
// Limits of connecting and of the ZMTP handshake, after which the connection is
// made anew.
constexpr int kConnectTimeoutMs = 1000;
constexpr int kHandshakeTimeoutMs = 2000;
constexpr int kZ85KeyChars = 40;
constexpr int kCurveKeyBytes = 32;
// Senders whose last sequence is kept; beyond this the table is cleared.
constexpr size_t kMaxKnownSenders = 4096;
// Frames handled in one callback, so that other events are not starved.
constexpr int kMaxFramesPerCallback = 200;

std::string Endpoint(const Address& address) {
  return "tcp://" + address.ToString();
}

void SetInt(void* socket, int option, int value) {
  zmq_setsockopt(socket, option, &value, sizeof(value));
}

void SetKey(void* socket, int option, const std::string& z85) {
  zmq_setsockopt(socket, option, z85.c_str(), z85.size() + 1);
}

// A connection that a partition interrupted is made anew soon after it ends.
// Without these limits, the kernel could retry it for a quarter of an hour.
void SetDeadPeerDetection(void* socket) {
  SetInt(socket, ZMQ_TCP_KEEPALIVE, 1);
  SetInt(socket, ZMQ_TCP_KEEPALIVE_IDLE,
         static_cast<int>(kTcpKeepAliveIdle.count()));
  SetInt(socket, ZMQ_TCP_KEEPALIVE_INTVL,
         static_cast<int>(kTcpKeepAliveInterval.count()));
  SetInt(socket, ZMQ_TCP_KEEPALIVE_CNT, kTcpKeepAliveProbes);
  SetInt(socket, ZMQ_TCP_MAXRT, static_cast<int>(kTcpUserTimeout.count()));
}

int EventDescriptor(void* socket) {
  int fd = -1;
  size_t size = sizeof(fd);
  zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
  return fd;
}

std::vector<std::string> ReceiveParts(void* socket) {
  std::vector<std::string> parts;
  int more = 1;
  while (more != 0) {
    zmq_msg_t part;
    zmq_msg_init(&part);
    if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
      zmq_msg_close(&part);
      return {};
    }
    parts.emplace_back(static_cast<const char*>(zmq_msg_data(&part)),
                       zmq_msg_size(&part));
    more = zmq_msg_more(&part);
    zmq_msg_close(&part);
  }
  return parts;
}

// Answers the authentication requests of libzmq (ZAP, ZeroMQ RFC 27): accepts
// only peers that present the deployment's public key.
void AnswerZapRequests(void* socket, const std::string& allowed_key) {
  while (true) {
    const std::vector<std::string> request = ReceiveParts(socket);
    if (request.size() < 7) return;
    char key[kZ85KeyChars + 1] = {};
    if (request[6].size() == kCurveKeyBytes) {
      zmq_z85_encode(key, reinterpret_cast<const uint8_t*>(request[6].data()),
                     kCurveKeyBytes);
    }
    const bool allowed = allowed_key == key;
    const std::vector<std::string> reply = {
        "1.0", request[1], allowed ? "200" : "400", allowed ? "OK" : "refused",
        "",    ""};
    for (size_t i = 0; i < reply.size(); ++i) {
      const int flags = i + 1 < reply.size() ? ZMQ_SNDMORE : 0;
      zmq_send(socket, reply[i].data(), reply[i].size(), flags);
    }
  }
}

}  // namespace

std::optional<PeerKeys> GeneratePeerKeys() {
  char public_key[kZ85KeyChars + 1];
  char secret_key[kZ85KeyChars + 1];
  if (zmq_curve_keypair(public_key, secret_key) != 0) return std::nullopt;
  return PeerKeys{public_key, secret_key};
}

std::string EncodePeerKeys(const PeerKeys& keys) {
  return nlohmann::json{{"public_key", keys.public_key},
                        {"secret_key", keys.secret_key}}
      .dump(2);
}

std::optional<PeerKeys> DecodePeerKeys(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false, true);
  if (!json.is_object()) return std::nullopt;
  const PeerKeys keys{json.value("public_key", ""),
                      json.value("secret_key", "")};
  const bool complete = keys.public_key.size() == kZ85KeyChars &&
                        keys.secret_key.size() == kZ85KeyChars;
  if (!complete) return std::nullopt;
  return keys;
}

struct PeerBus::Sockets {
  struct Sender {
    void* socket = nullptr;
    bool last_frame_dropped = false;
  };

  void* context = zmq_ctx_new();
  void* receiver = nullptr;
  void* authenticator = nullptr;
  std::map<Address, Sender> senders;

  ~Sockets() {
    for (const auto& [address, sender] : senders) zmq_close(sender.socket);
    if (receiver != nullptr) zmq_close(receiver);
    if (authenticator != nullptr) zmq_close(authenticator);
    zmq_ctx_term(context);
  }
};

PeerBus::PeerBus(EventLoop& loop, std::string deployment, ProcessId self,
                 std::optional<PeerKeys> keys)
    : loop_(loop),
      deployment_(std::move(deployment)),
      self_(std::move(self)),
      keys_(std::move(keys)),
      sockets_(std::make_unique<Sockets>()) {}

PeerBus::~PeerBus() {
  readable_.Reset();
  authentication_readable_.Reset();
}

bool PeerBus::Listen(const Address& address) {
  if (keys_) {
    sockets_->authenticator = zmq_socket(sockets_->context, ZMQ_REP);
    zmq_bind(sockets_->authenticator, "inproc://zeromq.zap.01");
    authentication_readable_ =
        loop_.OnReadable(EventDescriptor(sockets_->authenticator), [this] {
          AnswerZapRequests(sockets_->authenticator, keys_->public_key);
        });
  }
  sockets_->receiver = zmq_socket(sockets_->context, ZMQ_PULL);
  SetInt(sockets_->receiver, ZMQ_LINGER, 0);
  SetDeadPeerDetection(sockets_->receiver);
  const int64_t max_size = kMaxFrameBytes;
  zmq_setsockopt(sockets_->receiver, ZMQ_MAXMSGSIZE, &max_size,
                 sizeof(max_size));
  if (keys_) {
    SetInt(sockets_->receiver, ZMQ_CURVE_SERVER, 1);
    SetKey(sockets_->receiver, ZMQ_CURVE_SECRETKEY, keys_->secret_key);
  }
  if (zmq_bind(sockets_->receiver, Endpoint(address).c_str()) != 0) {
    return false;
  }
  readable_ = loop_.OnReadable(EventDescriptor(sockets_->receiver),
                               [this] { OnReadable(); });
  return true;
}

void* PeerBus::Connect(const Address& to) {
  void* socket = zmq_socket(sockets_->context, ZMQ_PUSH);
  SetInt(socket, ZMQ_LINGER, 0);
  SetInt(socket, ZMQ_SNDHWM, kSendQueueFrames);
  SetInt(socket, ZMQ_RECONNECT_IVL, kReconnectMinMs);
  SetInt(socket, ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
  SetInt(socket, ZMQ_CONNECT_TIMEOUT, kConnectTimeoutMs);
  SetInt(socket, ZMQ_HANDSHAKE_IVL, kHandshakeTimeoutMs);
  SetDeadPeerDetection(socket);
  // Drop frames for a peer that is not connected instead of queueing them.
  SetInt(socket, ZMQ_IMMEDIATE, 1);
  if (keys_) {
    SetKey(socket, ZMQ_CURVE_SERVERKEY, keys_->public_key);
    SetKey(socket, ZMQ_CURVE_PUBLICKEY, keys_->public_key);
    SetKey(socket, ZMQ_CURVE_SECRETKEY, keys_->secret_key);
  }
  zmq_connect(socket, Endpoint(to).c_str());
  return socket;
}

void PeerBus::Send(const Address& to, wire::Envelope message) {
  message.set_deployment(deployment_);
  message.set_protocol(kProtocolVersion);
  message.set_process(self_.value());
  message.set_sequence(++sequence_);
  const std::string frame = message.SerializeAsString();
  Sockets::Sender& sender = sockets_->senders[to];
  if (sender.socket == nullptr) sender.socket = Connect(to);
  const int sent =
      zmq_send(sender.socket, frame.data(), frame.size(), ZMQ_DONTWAIT);
  sender.last_frame_dropped = sent < 0;
  if (sender.last_frame_dropped) {
    ++counters_.frames_dropped;
    return;
  }
  ++counters_.frames_sent;
  counters_.bytes_sent += frame.size();
}

void PeerBus::Disconnect(const Address& to) {
  const auto it = sockets_->senders.find(to);
  if (it == sockets_->senders.end()) return;
  zmq_close(it->second.socket);
  sockets_->senders.erase(it);
}

void PeerBus::OnPeerStarted(const Address& at) {
  const auto it = sockets_->senders.find(at);
  if (it == sockets_->senders.end()) return;
  if (it->second.last_frame_dropped) Disconnect(at);
}

void PeerBus::OnReadable() {
  // The descriptor is edge-triggered, so read until the socket is empty.  After
  // kMaxFramesPerCallback frames, continue in a posted callback.
  for (int i = 0; i < kMaxFramesPerCallback; ++i) {
    const std::vector<std::string> parts = ReceiveParts(sockets_->receiver);
    if (parts.empty()) return;
    OnFrame(parts.front().data(), parts.front().size());
  }
  loop_.Post([this] { OnReadable(); });
}

void PeerBus::OnFrame(const void* data, size_t size) {
  wire::Envelope message;
  ++counters_.frames_received;
  counters_.bytes_received += size;
  const char* refusal = nullptr;
  if (!message.ParseFromArray(data, static_cast<int>(size))) {
    refusal = "malformed frame";
  } else if (message.protocol() != kProtocolVersion) {
    refusal = "unsupported protocol version";
  } else if (message.deployment() != deployment_) {
    refusal = "frame is from another deployment";
  }
  if (refusal != nullptr) {
    ++counters_.frames_refused;
    Log(LogLevel::kWarning, "peer_frame_refused", {{"reason", refusal}});
    return;
  }
  if (last_sequence_.size() > kMaxKnownSenders) last_sequence_.clear();
  uint64_t& last = last_sequence_[message.process()];
  if (message.sequence() <= last) return;
  last = message.sequence();
  signal_message.emit(message);
}

}  // namespace corianderlink
