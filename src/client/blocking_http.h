#pragma once
/// @file
/// HTTP calls that wait for their outcome, for command-line tools.

#include <functional>
#include <memory>
#include <string>

#include "net/http_types.h"

namespace cloverbank {

class BlockingHttp {
 public:
  /// @param local_address IP number to call from; empty lets the system choose.
  explicit BlockingHttp(std::string local_address = {});
  ~BlockingHttp();
  BlockingHttp(const BlockingHttp&) = delete;
  BlockingHttp& operator=(const BlockingHttp&) = delete;

  /// Makes one call and waits for its outcome, at most `deadline`.
  HttpOutcome Call(const Endpoint& to, HttpRequest request, Duration deadline);
  /// Makes one streamed call; `on_bytes` runs for each read. @return the outcome with the status of
  /// the head.
  HttpOutcome Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                     const std::function<void(const std::string& bytes)>& on_bytes);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @return a request; `path` may end in `?name=value&...` with values that are not encoded.
HttpRequest MakeRequest(std::string method, const std::string& path, std::string body = {});

}  // namespace cloverbank
