#pragma once
/// @file
/// HTTP calls that block until their outcome is known, for command-line tools.

#include <functional>
#include <memory>
#include <string>

#include "net/http_types.h"

namespace cloverbank {

class BlockingHttp {
 public:
  /// @param local_address IP address to call from; if empty, the operating system chooses.
  explicit BlockingHttp(std::string local_address = {});
  ~BlockingHttp();
  BlockingHttp(const BlockingHttp&) = delete;
  BlockingHttp& operator=(const BlockingHttp&) = delete;

  /// Makes one call and waits for its outcome, for at most `deadline`.
  HttpOutcome Call(const Endpoint& to, HttpRequest request, Duration deadline);
  /// Makes one call with a streamed response and waits until it ends, for at most `deadline`.
  /// @param on_bytes runs on the calling thread, within this call, for each piece of the body.
  /// @return the outcome, with the HTTP status of the response (0 if there was none) and no body.
  HttpOutcome Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                     const std::function<void(const std::string& bytes)>& on_bytes);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @param path may end in `?name=value&...`, with values that are not percent-encoded.
/// @param body JSON; may be empty.
HttpRequest MakeRequest(std::string method, const std::string& path, std::string body = {});

}  // namespace cloverbank
