// A TCP connection on the event loop with buffered input and output.
#ifndef CORIANDERLINK_HTTP_BYTE_STREAM_H_
#define CORIANDERLINK_HTTP_BYTE_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "corianderlink/Http/closed_window_watch.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

struct bufferevent;
struct evbuffer_cb_entry;

namespace corianderlink {

class EventLoop;

/// Receives the events of a ByteStream.  A callback may destroy the stream.
class ByteStreamListener {
 public:
  virtual ~ByteStreamListener() = default;
  virtual void OnConnected() {}
  /// New data is in the input buffer.
  virtual void OnReadable() = 0;
  /// The output buffer is empty: the kernel accepted all written data.
  virtual void OnDrained() {}
  /// The peer closed its sending direction (end of file).
  virtual void OnPeerClosed() = 0;
  /// Connecting failed or the connection broke; `reason` is for logs.
  virtual void OnError(const std::string& reason) = 0;
};

/// What becomes of a connection whose peer is alive and does not read.
enum class PausedPeer {
  kWaitFor,  ///< It is kept (see ClosedWindowWatch).
  kGiveUp,   ///< It fails after kTcpUserTimeout: nothing stays in transit.
};

/// Owns a socket; the destructor closes it.
class ByteStream {
 public:
  /// Takes ownership of an accepted socket.
  ByteStream(EventLoop& loop, int fd, ByteStreamListener& listener);
  /// Starts to connect to `to`; OnConnected or OnError reports the result.
  ByteStream(EventLoop& loop, const Address& to, ByteStreamListener& listener,
             PausedPeer paused_peer = PausedPeer::kWaitFor);
  ~ByteStream();
  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  /// Received data that was not consumed yet.  The view is valid until the
  /// next call on the stream.
  std::string_view Input();
  size_t InputBytes() const;
  /// Reads what the kernel has received, also after the connection has failed;
  /// nothing while reading is paused or the end was read.
  void ReadRemaining();
  /// Removes the first `bytes` bytes from the input buffer.
  void Consume(size_t bytes);
  /// Appends `data` to the output buffer.
  void Write(std::string_view data);
  /// Bytes in the output buffer that the kernel has not accepted yet.
  size_t PendingBytes() const;
  /// Stops reading from the socket while `bytes` or more are unconsumed.
  void SetReadLimit(size_t bytes);
  /// Of the loop, for all events of the connection from now on.
  void SetPriority(int priority);
  /// The socket.
  int fd() const;
  void PauseReading();
  void ResumeReading();
  /// Makes the peer's host acknowledge the connection once a second while no
  /// data arrives.
  void ProbeHost();
  /// Time since the peer's host last acknowledged something; nothing if the
  /// kernel does not tell.
  std::optional<Duration> SinceAcknowledgement() const;
  /// Neither reads from the socket nor writes to it from now on; buffered
  /// output is not sent.
  void Stop();
  /// True if the kernel has received data that is not in the input buffer.
  bool HasUnreadInput() const;
  /// Ends the sending direction (end of file at the peer); all written data has
  /// to be sent before.
  void EndOutput();
  /// True if the peer's host had received all written data before the peer
  /// closed its sending direction, and the connection has not failed.
  bool EndedInOrder() const;
  /// Lets a peer that reads late receive, after the connection is closed in
  /// order, what the kernel has accepted.
  void DeliverAfterClose();
  /// Makes the destructor reset the connection (TCP RST) instead of closing
  /// it in order.
  void ResetOnClose();
  /// True once the kernel has accepted at least one byte for sending.
  bool bytes_sent() const { return bytes_sent_; }

 private:
  void Init(EventLoop& loop, int fd);
  void SetSocketOptions();

  ByteStreamListener& listener_;
  bufferevent* bev_ = nullptr;
  evbuffer_cb_entry* sent_callback_ = nullptr;
  std::optional<ClosedWindowWatch> window_watch_;
  bool bytes_sent_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_BYTE_STREAM_H_
