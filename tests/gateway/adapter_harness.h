#pragma once
/// @file
/// Calls the handlers of HTTP adapters in tests without sockets.

#include <memory>
#include <string>

#include "calls/http_json.h"
#include "net/route_table.h"

namespace cloverbank {

/// Records the complete response to a request; streams are ignored.
struct RecordedResponse : HttpResponder {
  void Send(HttpResponse sent) override {
    ++count;
    response = std::move(sent);
  }
  void StartStream(int /*status*/, HttpHeaders /*headers*/) override {}
  void WriteChunk(std::string /*chunk*/, std::function<void(bool)> /*written*/) override {}
  void FinishStream() override {}
  void Abort() override {}
  void OnDisconnect(std::function<void()> /*on_disconnect*/) override {}

  /// @return the body parsed as a `Message`; the test fails if that is not possible.
  template <typename Message>
  Message Body() const {
    Message message;
    EXPECT_TRUE(FromJson(response.body, &message).ok()) << response.body;
    return message;
  }
  proto::CallError Error() const { return Body<proto::ErrorBody>().error(); }
  std::string Header(std::string_view name) const {
    return std::string(FindHeader(response.headers, name));
  }

  int count = 0;
  HttpResponse response;
};

/// Finds the handler of a request as the server does, and calls it synchronously.
class AdapterHarness : public HttpRouter {
 public:
  void Handle(std::string_view method, std::string_view pattern, HttpHandler handler) override {
    routes_.Add(method, pattern, std::move(handler));
  }

  std::shared_ptr<RecordedResponse> Send(const std::string& method, const std::string& path,
                                         const std::string& body = {}, HttpHeaders headers = {},
                                         HttpHeaders query = {}) {
    auto answer = std::make_shared<RecordedResponse>();
    const RouteTable::Match match = routes_.Find(method, path);
    EXPECT_NE(match.handler, nullptr) << method << " " << path;
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    request.query = std::move(query);
    (*match.handler)(std::move(request), answer);
    return answer;
  }

 private:
  RouteTable routes_;
};

}  // namespace cloverbank
