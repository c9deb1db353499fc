#include "bench/counting_client.h"

namespace cloverbank {
namespace {

constexpr std::size_t kRequestLineBytes = 64;  // Method, target, version, host and length fields.
constexpr std::size_t kStatusLineBytes = 48;
constexpr std::size_t kFieldOverheadBytes = 4;  // ": " and the line end.

std::size_t HeadBytes(const HttpHeaders& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + kFieldOverheadBytes;
  }
  return bytes;
}

std::uint64_t RequestBytes(const HttpRequest& request) {
  return kRequestLineBytes + request.path.size() + HeadBytes(request.headers) + request.body.size();
}

}  // namespace

std::shared_ptr<HttpCall> CountingClient::Call(const Endpoint& to, HttpRequest request,
                                               Duration deadline,
                                               std::function<void(HttpOutcome)> done) {
  ++count_->calls;
  count_->sent_bytes += RequestBytes(request);
  return client_.Call(to, std::move(request), deadline,
                      [count = count_, done = std::move(done)](HttpOutcome outcome) {
                        count->received_bytes += kStatusLineBytes +
                                                 HeadBytes(outcome.response.headers) +
                                                 outcome.response.body.size();
                        done(std::move(outcome));
                      });
}

std::shared_ptr<HttpCall> CountingClient::Stream(const Endpoint& to, HttpRequest request,
                                                 Duration deadline, Duration idle_limit,
                                                 HttpStreamCallbacks callbacks) {
  ++count_->calls;
  count_->sent_bytes += RequestBytes(request);
  callbacks.on_bytes = [count = count_, on_bytes = std::move(callbacks.on_bytes)](
                           std::string bytes, std::function<void()> more) {
    count->received_bytes += bytes.size();
    on_bytes(std::move(bytes), std::move(more));
  };
  return client_.Stream(to, std::move(request), deadline, idle_limit, std::move(callbacks));
}

}  // namespace cloverbank
