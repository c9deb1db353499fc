#pragma once
/// @file
/// Calls cloverbank's HTTP interface through any of several gateways and repeats what may be
/// repeated: a request that certainly was not carried out goes to the next gateway; one whose
/// answer was lost is sent again only if it carries an operation id or idempotency key
/// (`Repeat::kSafe`).

#include <string>
#include <vector>

#include "client/blocking_http.h"
#include "proto/live.pb.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// Whether a request whose outcome is unknown may be sent again.
enum class Repeat { kSafe, kNever };

/// An error response, or a missing one, as it is shown to the user.
struct ApiError {
  int http_status = 0;  ///< 0: no gateway answered.
  proto::CallError error;
};

class ApiClient {
 public:
  ApiClient(std::vector<Endpoint> gateways, Duration patience);

  /// Sends a request and reads a JSON answer into `answer` (may be nullptr).
  /// @param error filled when the result is false.
  bool Call(const std::string& method, const std::string& path, const std::string& body,
            Repeat repeat, google::protobuf::Message* answer, ApiError* error);
  /// @return the HTTP status of the last complete response.
  int last_status() const { return last_status_; }

  BlockingHttp& http() { return http_; }
  const std::vector<Endpoint>& gateways() const { return gateways_; }

 private:
  bool TakeAnswer(const HttpOutcome& outcome, google::protobuf::Message* answer, ApiError* error);

  BlockingHttp http_;
  std::vector<Endpoint> gateways_;
  Duration patience_;  ///< How long to go on over all gateways.
  std::size_t next_gateway_ = 0;
  int last_status_ = 0;
};

}  // namespace cloverbank
