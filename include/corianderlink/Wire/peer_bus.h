// Message bus between the processes of a deployment: ZeroMQ PUSH/PULL sockets,
// encrypted and authenticated with CURVE if a key pair is configured.
#ifndef CORIANDERLINK_WIRE_PEER_BUS_H_
#define CORIANDERLINK_WIRE_PEER_BUS_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

namespace wire {
class Envelope;
}  // namespace wire

/// CURVE key pair of the deployment, encoded in Z85.  All processes share one
/// pair; the authentication handler rejects peers with any other key.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
};

/// Generates a key pair.  Returns nullopt if libzmq lacks CURVE support.
std::optional<PeerKeys> GeneratePeerKeys();
/// Encodes the key pair as a JSON object, the format of the key file.
std::string EncodePeerKeys(const PeerKeys& keys);
/// Decodes a key file.  Returns nullopt if `text` is not a JSON object or a key
/// is missing or has the wrong length.
std::optional<PeerKeys> DecodePeerKeys(const std::string& text);

/// Frames and bytes since the start of the process, for metrics and for the
/// cost per peer.
struct PeerBusCounters {
  uint64_t frames_sent = 0;
  uint64_t bytes_sent = 0;
  /// Includes refused frames.
  uint64_t frames_received = 0;
  uint64_t bytes_received = 0;
  /// Malformed, or of another protocol version or deployment.
  uint64_t frames_refused = 0;
  /// Not sent, because the peer is not connected or its send queue is full.
  uint64_t frames_dropped = 0;
};

/// Owns the ZeroMQ sockets.  Delivery is best effort: a frame that cannot be
/// queued at once is dropped, so senders repeat messages that have to arrive.
class PeerBus {
 public:
  /// Connections are neither encrypted nor authenticated without `keys`.
  PeerBus(EventLoop& loop, std::string deployment, ProcessId self,
          std::optional<PeerKeys> keys);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  /// Binds the receiving socket.  Returns false if the address cannot be bound.
  bool Listen(const Address& address);

  /// Sets the envelope's deployment, protocol, process and sequence fields and
  /// sends `message` to the peer at `to`, connecting on first use.
  void Send(const Address& to, wire::Envelope message);

  /// Closes the connection to a peer that has left.
  void Disconnect(const Address& to);

  /// A process has started at this address.  If there is no connection to it,
  /// the next frame connects at once instead of after the reconnect delay,
  /// which grows while the address does not answer.
  void OnPeerStarted(const Address& at);

  /// Emitted for each received frame of this deployment and protocol version
  /// whose sequence is newer than the sender's last one.
  sigc::signal<void(const wire::Envelope&)> signal_message;

  const PeerBusCounters& counters() const { return counters_; }

 private:
  struct Sockets;

  void OnReadable();
  void OnFrame(const void* data, size_t size);
  /// Creates a socket that connects to `to`.
  void* Connect(const Address& to);

  EventLoop& loop_;
  const std::string deployment_;
  const ProcessId self_;
  const std::optional<PeerKeys> keys_;
  std::unique_ptr<Sockets> sockets_;
  EventHandle readable_;
  EventHandle authentication_readable_;
  uint64_t sequence_ = 0;
  /// Highest sequence received, by sending process.
  std::map<std::string, uint64_t> last_sequence_;
  PeerBusCounters counters_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_WIRE_PEER_BUS_H_
