#include "client/blocking_http.h"

#include <algorithm>

#include "net/beast_http_client.h"
#include "net/event_loop.h"

namespace cloverbank {

struct BlockingHttp::State {
  explicit State(std::string local_address)
      : client(loop, Options(std::move(local_address)), nullptr) {}

  static HttpClientOptions Options(std::string local_address) {
    HttpClientOptions options;
    options.local_address = std::move(local_address);
    return options;
  }

  EventLoop loop;
  BeastHttpClient client;
};

BlockingHttp::BlockingHttp(std::string local_address)
    : state_(std::make_unique<State>(std::move(local_address))) {}
BlockingHttp::~BlockingHttp() = default;

HttpOutcome BlockingHttp::Call(const Endpoint& to, HttpRequest request, Duration deadline) {
  HttpOutcome outcome;
  const auto call =
      state_->client.Call(to, std::move(request), deadline, [&](HttpOutcome answered) {
        outcome = std::move(answered);
        state_->loop.Stop();
      });
  state_->loop.Run();
  return outcome;
}

HttpOutcome BlockingHttp::Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                                 const std::function<void(const std::string& bytes)>& on_bytes) {
  HttpOutcome outcome;
  int head_status = 0;
  HttpStreamCallbacks callbacks;
  callbacks.on_head = [&](int status, const HttpHeaders&) { head_status = status; };
  callbacks.on_bytes = [&](const std::string& bytes, const std::function<void()>& more) {
    on_bytes(bytes);
    more();
  };
  callbacks.on_end = [&](HttpOutcome ended) {
    outcome = std::move(ended);
    outcome.response.status = head_status;
    state_->loop.Stop();
  };
  const auto call =
      state_->client.Stream(to, std::move(request), deadline, deadline, std::move(callbacks));
  state_->loop.Run();
  return outcome;
}

HttpRequest MakeRequest(std::string method, const std::string& path, std::string body) {
  HttpRequest request;
  request.method = std::move(method);
  const auto question = path.find('?');
  request.path = path.substr(0, question);
  if (!body.empty()) {
    request.headers.emplace_back("content-type", "application/json");
  }
  request.body = std::move(body);
  if (question == std::string::npos) {
    return request;
  }
  const std::string query = path.substr(question + 1);
  for (std::size_t begin = 0; begin < query.size();) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    const std::string pair = query.substr(begin, end - begin);
    const auto equals = pair.find('=');
    const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
    request.query.emplace_back(pair.substr(0, equals), value);
    begin = end + 1;
  }
  return request;
}

}  // namespace cloverbank
