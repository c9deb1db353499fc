#pragma once
/// @file
/// Peer calls with protobuf messages, on top of the byte strings of `Environment`.

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "runtime/environment.h"

namespace cloverbank {

/// Calls `method` at `to` with `request`. `done` runs once on the loop with the decoded response or
/// the failure; a reply that cannot be decoded is kUnknownOutcome.
/// @param deadline time from now after which the outcome is kUnknownOutcome (kUnavailable if
/// nothing was sent).
template <typename Response, typename Request>
void CallPeer(Environment& environment, const Endpoint& to, std::string_view method,
              const Request& request, Duration deadline,
              std::function<void(Result<Response>)> done) {
  environment.CallPeer(
      to, method, request.SerializeAsString(), deadline, [done = std::move(done)](PeerReply reply) {
        if (!reply.status.ok()) {
          done(std::move(reply.status));
          return;
        }
        Response response;
        if (!response.ParseFromString(reply.body)) {
          done(Status(StatusCode::kUnknownOutcome, "peer sent a malformed answer"));
          return;
        }
        done(std::move(response));
      });
}

/// Registers `handler(request, peer_address, reply)` for `method`. `handler` runs on the loop and
/// must call `reply` exactly once. A body that cannot be decoded is refused with kInvalidArgument
/// before `handler` runs.
template <typename Request, typename Response>
void ServePeer(Environment& environment, std::string_view method,
               std::function<void(const Request& request, const std::string& peer_address,
                                  std::function<void(Result<Response>)> reply)>
                   handler) {
  environment.RegisterPeerMethod(
      method, [handler = std::move(handler)](const PeerRequest& raw, PeerReplyCallback reply) {
        Request request;
        if (!request.ParseFromString(raw.body)) {
          reply({Status(StatusCode::kInvalidArgument, "malformed peer message"), {}});
          return;
        }
        handler(request, raw.peer_address, [reply = std::move(reply)](Result<Response> result) {
          if (result.ok()) {
            reply({Status::Ok(), result->SerializeAsString()});
          } else {
            reply({result.status(), {}});
          }
        });
      });
}

}  // namespace cloverbank
