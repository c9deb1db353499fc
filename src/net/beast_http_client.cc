#include "net/beast_http_client.h"

#include <utility>

#include "net/client_call.h"
#include "net/connection_pool.h"

namespace cloverbank {

BeastHttpClient::BeastHttpClient(EventLoop& loop, HttpClientOptions options,
                                 const FaultInjector* faults)
    : shared_(std::make_shared<HttpClientShared>(loop, std::move(options), faults)) {}

BeastHttpClient::~BeastHttpClient() { CancelAll(); }

void BeastHttpClient::CancelAll() {
  // Destroying one call's callbacks may cancel other calls, so look up the next one each time.
  while (!shared_->active_calls.empty()) {
    (*shared_->active_calls.begin())->Cancel();
  }
}

std::shared_ptr<HttpCall> BeastHttpClient::Call(const Endpoint& to, HttpRequest request,
                                                Duration deadline,
                                                std::function<void(HttpOutcome)> done) {
  auto body = std::make_shared<std::string>();
  HttpStreamCallbacks callbacks;
  callbacks.on_bytes = [body](const std::string& bytes, const std::function<void()>& more) {
    *body += bytes;
    more();
  };
  callbacks.on_end = [body, done = std::move(done)](HttpOutcome outcome) {
    if (outcome.kind == HttpOutcomeKind::kAnswered) {
      outcome.response.body = std::move(*body);
    }
    done(std::move(outcome));
  };
  ClientCallLimits limits;
  limits.deadline = deadline;
  limits.maximum_body = shared_->options.maximum_body_bytes;
  const auto call =
      std::make_shared<ClientCall>(shared_, to, std::move(request), limits, std::move(callbacks));
  call->Start();
  return call;
}

std::shared_ptr<HttpCall> BeastHttpClient::Stream(const Endpoint& to, HttpRequest request,
                                                  Duration deadline, Duration idle_limit,
                                                  HttpStreamCallbacks callbacks) {
  ClientCallLimits limits;
  limits.deadline = deadline;
  limits.idle_limit = idle_limit;
  const auto call =
      std::make_shared<ClientCall>(shared_, to, std::move(request), limits, std::move(callbacks));
  call->Start();
  return call;
}

std::size_t BeastHttpClient::idle_connection_count() const { return shared_->pool.size(); }

}  // namespace cloverbank
