#pragma once
/// @file
/// Calls cloverbank's HTTP interface through any of several gateways and retries where that is
/// safe. A request that was certainly not executed is sent to the next gateway. A request whose
/// outcome is unknown is sent again only if it has an operation id or an idempotency key
/// (`Repeat::kSafe`).

#include <string>
#include <vector>

#include "client/blocking_http.h"
#include "proto/live.pb.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// Whether a request may be sent again although it may have been executed.
enum class Repeat { kSafe, kNever };

/// An error response, or the reason why there was no response, to be shown to the user.
struct ApiError {
  int http_status = 0;  ///< 0: no gateway responded.
  proto::CallError error;
};

class ApiClient {
 public:
  /// @param gateways client endpoints; at least one.
  /// @param patience how long a call may be retried.
  ApiClient(std::vector<Endpoint> gateways, Duration patience);

  /// Sends a request, waits for the response and parses its JSON body into `answer`.
  /// @param answer may be nullptr if the body is not needed.
  /// @param error describes the last attempt if the result is false.
  /// @return whether a gateway responded with success.
  bool Call(const std::string& method, const std::string& path, const std::string& body,
            Repeat repeat, google::protobuf::Message* answer, ApiError* error);
  /// @return the HTTP status of the last complete response.
  int last_status() const { return last_status_; }

  BlockingHttp& http() { return http_; }
  const std::vector<Endpoint>& gateways() const { return gateways_; }

 private:
  /// Fills `answer` or `error` from the outcome. @return whether it is a success.
  bool ReadOutcome(const HttpOutcome& outcome, google::protobuf::Message* answer, ApiError* error);

  BlockingHttp http_;
  std::vector<Endpoint> gateways_;
  Duration patience_;  ///< How long a call may be retried over all gateways.
  std::size_t next_gateway_ = 0;
  int last_status_ = 0;
};

}  // namespace cloverbank
