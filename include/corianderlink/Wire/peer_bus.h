// Messages between processes of a deployment: ZeroMQ PUSH/PULL with CURVE.
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

/// Key pair of the deployment in Z85 text.  Every process holds the same pair;
/// a peer that does not is refused by the authentication handler.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
};

/// Makes a new pair; nothing if the library lacks CURVE.
std::optional<PeerKeys> GeneratePeerKeys();
std::string EncodePeerKeys(const PeerKeys& keys);
std::optional<PeerKeys> DecodePeerKeys(const std::string& text);

/// Counts of frames, for metrics and for the cost per peer.
struct PeerBusCounters {
  uint64_t frames_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_received = 0;
  uint64_t frames_refused = 0;
  uint64_t frames_dropped = 0;
};

/// Owns the sockets.  Frames that cannot be sent at once are dropped; senders
/// repeat what matters.
class PeerBus {
 public:
  PeerBus(EventLoop& loop, std::string deployment, ProcessId self,
          std::optional<PeerKeys> keys);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  /// Binds the receiving socket; false if the address cannot be bound.
  bool Listen(const Address& address);

  /// Sends a copy of `message` to the peer at `to`, connecting on first use.
  void Send(const Address& to, wire::Envelope message);

  /// Closes the connection to a peer that is gone.
  void Forget(const Address& to);

  /// Emitted for each frame that passed the checks.
  sigc::signal<void(const wire::Envelope&)> signal_message;

  const PeerBusCounters& counters() const { return counters_; }

 private:
  struct Sockets;

  void OnReadable();
  void OnFrame(const void* data, size_t size);
  void* Connect(const Address& to);

  EventLoop& loop_;
  const std::string deployment_;
  const ProcessId self_;
  const std::optional<PeerKeys> keys_;
  std::unique_ptr<Sockets> sockets_;
  EventHandle readable_;
  EventHandle authentication_readable_;
  uint64_t sequence_ = 0;
  std::map<std::string, uint64_t> last_sequence_;
  PeerBusCounters counters_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_WIRE_PEER_BUS_H_
