#pragma once
/// @file
/// An `HttpClient` that counts its requests and the bytes of bodies and headers in both directions
/// (bytes of headers are estimated from their fields).

#include <cstdint>
#include <memory>

#include "net/http_types.h"

namespace cloverbank {

struct TrafficCount {
  std::uint64_t calls = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
};

class CountingClient : public HttpClient {
 public:
  /// @param client must outlive this object and its calls.
  explicit CountingClient(HttpClient& client) : client_(client) {}

  std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                 std::function<void(HttpOutcome)> done) override;
  std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                                   Duration idle_limit, HttpStreamCallbacks callbacks) override;

  /// @return the totals since construction.
  const TrafficCount& count() const { return *count_; }

 private:
  HttpClient& client_;
  std::shared_ptr<TrafficCount> count_ = std::make_shared<TrafficCount>();
};

}  // namespace cloverbank
