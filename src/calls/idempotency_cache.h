#pragma once
/// @file
/// Stores responses for clients that repeat a request with the same Idempotency-Key. Pure.
///
/// Limits: the cache is in memory and local to this gateway; it keeps responses for a bounded time,
/// up to a total size, and evicts the oldest first. An unknown key is treated as a new request.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "proto/live.pb.h"

namespace cloverbank {

struct IdempotencyOptions {
  Duration retention = seconds(600);  ///< How long a response is kept after it was stored.
  std::size_t maximum_total_bytes = std::size_t{32} << 20U;  ///< Of all stored responses.
  /// Longer texts are not stored; see `CachedResponse::text_cached`.
  std::size_t maximum_response_bytes = std::size_t{256} << 10U;
};

/// The stored response to a finished request.
struct CachedResponse {
  bool succeeded = false;
  bool text_cached = true;  ///< False if the text was too large to store.
  int http_status = 200;
  proto::CallAnswer answer;  ///< Set when succeeded.
  proto::CallError error;    ///< Set when not succeeded.
};

enum class KeyState : std::uint8_t {
  kNew,       ///< The caller of `Begin` must run the request and end it by `Store` or `Forget`.
  kRunning,   ///< The first request under the key has not ended.
  kFinished,  ///< `Find` returns its response.
  kMismatch,  ///< The key was used for another request body.
};

class IdempotencyCache {
 public:
  using Waiter = std::function<void(const CachedResponse&)>;

  explicit IdempotencyCache(IdempotencyOptions options) : options_(options) {}

  /// Evicts expired responses, and adds the key if it is unknown.
  /// @param key tenant, route and the client's key. @param fingerprint checksum of the request
  /// body.
  KeyState Begin(const std::string& key, std::uint64_t fingerprint, TimePoint now);
  /// @return the response of a finished request, or nullptr.
  const CachedResponse* Find(const std::string& key) const;
  /// Waits for the running request under `key`, which must exist. `waiter` runs within `Store` or
  /// `Forget`, whatever the response is.
  void Join(const std::string& key, Waiter waiter);
  /// The request ended with a response that a repeated request must get too. Waiters get it with
  /// its text even if the text is too large to store.
  void Store(const std::string& key, CachedResponse response, TimePoint now);
  /// The request certainly did not run: a repeated request is a new one. Waiters get `response`.
  void Forget(const std::string& key, const CachedResponse& response);

  std::size_t size() const { return entries_.size(); }
  std::size_t cached_bytes() const { return cached_bytes_; }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    bool running = true;
    CachedResponse response;
    std::size_t bytes = 0;
    TimePoint stored_at{};
    std::vector<Waiter> waiters;
    std::list<std::string>::iterator position;  ///< In `finished_`, when no longer running.
  };

  void EvictOldest();
  void EvictExpired(TimePoint now);

  IdempotencyOptions options_;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> finished_;  ///< Keys of stored responses, oldest first.
  std::size_t cached_bytes_ = 0;
};

}  // namespace cloverbank
