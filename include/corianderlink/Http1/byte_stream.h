// One TCP connection of the event loop: buffered reading and writing.
#ifndef CORIANDERLINK_HTTP1_BYTE_STREAM_H_
#define CORIANDERLINK_HTTP1_BYTE_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

struct bufferevent;
struct evbuffer_cb_entry;

namespace corianderlink {

class EventLoop;

/// Receives the events of a ByteStream.  The stream may be destroyed within
/// any of these calls.
class ByteStreamListener {
 public:
  virtual ~ByteStreamListener() = default;
  virtual void OnConnected() {}
  /// New bytes are in the input buffer.
  virtual void OnReadable() = 0;
  /// Everything written was handed to the system.
  virtual void OnDrained() {}
  /// The peer closed its direction in order.
  virtual void OnPeerClosed() = 0;
  /// The connection failed.
  virtual void OnError(const std::string& reason) = 0;
};

/// Owns a socket.  Destroying it closes the connection.
class ByteStream {
 public:
  /// Takes over an accepted socket.
  ByteStream(EventLoop& loop, int fd, ByteStreamListener& listener);
  /// Starts connecting; OnConnected or OnError follows.
  ByteStream(EventLoop& loop, const Address& to, ByteStreamListener& listener);
  ~ByteStream();
  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  /// Input bytes that were not consumed yet; valid until the next call.
  std::string_view Input();
  void Consume(size_t bytes);
  void Write(std::string_view data);
  /// Bytes written and not yet taken by the system.
  size_t PendingBytes() const;
  /// Stops reading while more than this many bytes are unconsumed.
  void SetReadLimit(size_t bytes);
  void PauseReading();
  void ResumeReading();
  /// The destructor sends a reset instead of an orderly close.
  void ResetOnClose();
  /// True once the system took a byte for sending.
  bool bytes_sent() const { return bytes_sent_; }

 private:
  void Init(EventLoop& loop, int fd);
  void SetSocketOptions();

  ByteStreamListener& listener_;
  bufferevent* bev_ = nullptr;
  evbuffer_cb_entry* sent_callback_ = nullptr;
  bool bytes_sent_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_BYTE_STREAM_H_
