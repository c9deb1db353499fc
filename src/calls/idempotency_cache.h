#pragma once
/// @file
/// Answers kept for callers that send a request again under the same Idempotency-Key. Pure.
///
/// Limits: the cache is this gateway's alone and dies with it, keeps an answer for a bounded time
/// and a bounded number of bytes, and drops the oldest first. A key that is not found is a new
/// request.

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
  Duration retention = seconds(600);
  std::size_t maximum_total_bytes = std::size_t{32} << 20U;  ///< Bytes over all kept answers.
  std::size_t maximum_response_bytes = std::size_t{256} << 10U;
};

/// What a finished request is answered again.
struct CachedResponse {
  bool succeeded = false;
  bool text_cached = true;  ///< False if the answer was too large to be kept.
  int http_status = 200;
  proto::CallAnswer answer;  ///< When succeeded.
  proto::CallError error;    ///< When not.
};

enum class KeyState : std::uint8_t {
  kNew,       ///< Now running, owned by the one who asked; ends with `Keep` or `Forget`.
  kRunning,   ///< The first request under the key has not ended.
  kFinished,  ///< `Find` gives its answer.
  kMismatch,  ///< The key was used for another request body.
};

class IdempotencyCache {
 public:
  using Waiter = std::function<void(const CachedResponse&)>;

  explicit IdempotencyCache(IdempotencyOptions options) : options_(options) {}

  /// @param key tenant, route and the caller's key. @param fingerprint of the request body.
  KeyState Begin(const std::string& key, std::uint64_t fingerprint, TimePoint now);
  /// @return the answer of a finished request, or nullptr.
  const CachedResponse* Find(const std::string& key) const;
  /// Has `waiter` called with the answer of the running request, whatever it is.
  void Join(const std::string& key, Waiter waiter);
  /// The request ended with an answer that a resend must get too.
  void Store(const std::string& key, CachedResponse answer, TimePoint now);
  /// The request was certainly not run: a resend is a new request. Waiters get `answer`.
  void Forget(const std::string& key, const CachedResponse& answer);

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
    std::list<std::string>::iterator position;  ///< In `finished_`, when not running.
  };

  void DropOldest();
  void DropOld(TimePoint now);

  IdempotencyOptions options_;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> finished_;  ///< Oldest first.
  std::size_t cached_bytes_ = 0;
};

}  // namespace cloverbank
