#include "net/asio_environment.h"

#include <chrono>
#include <utility>

#include "base/status.h"
#include "proto/common.pb.h"

namespace cloverbank {
namespace {

constexpr std::string_view kPeerPathPrefix = "/peer/";
constexpr std::string_view kPeerPathPattern = "/peer/{method}";
constexpr std::string_view kContentType = "application/x-protobuf";
constexpr int kOkStatus = 200;

std::mt19937_64 SeededGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

/// @return the HTTP status for `code`. It is only for people who read traces; the calling peer
/// takes the code from the body.
int ToHttpStatus(StatusCode code) {
  switch (code) {
    case StatusCode::kOk:
      return kOkStatus;
    case StatusCode::kInvalidArgument:
      return 400;
    case StatusCode::kNotFound:
      return 404;
    case StatusCode::kConflict:
    case StatusCode::kFenced:
    case StatusCode::kStaleEpoch:
      return 409;
    case StatusCode::kNotLeader:
    case StatusCode::kUnavailable:
    case StatusCode::kLeaseExpired:
    case StatusCode::kResourceExhausted:
      return 503;
    default:
      return 500;
  }
}

HttpResponse ToHttpResponse(PeerReply reply) {
  HttpResponse response;
  response.status = ToHttpStatus(reply.status.code());
  response.headers.emplace_back("Content-Type", kContentType);
  if (reply.status.ok()) {
    response.body = std::move(reply.body);
    return response;
  }
  proto::Error error;
  error.set_code(static_cast<std::uint32_t>(reply.status.code()));
  error.set_message(reply.status.message());
  error.set_detail(reply.status.detail());
  response.body = error.SerializeAsString();
  return response;
}

/// @return the failure for a response that is not in the peer protocol: the peer's HTTP layer
/// refused the request before any handler received it.
Status StatusFromTransportError(const HttpResponse& response) {
  const std::string reason =
      "the response is not in the peer protocol, HTTP status " + std::to_string(response.status);
  switch (response.status) {
    case 413:
    case 431:
      return {StatusCode::kResourceExhausted, reason};
    case 404:
    case 503:
      return {StatusCode::kUnavailable, reason};
    default:
      return {StatusCode::kUnknownOutcome, reason};
  }
}

PeerReply PeerReplyFromResponse(HttpResponse response) {
  if (FindHeader(response.headers, "Content-Type") != kContentType) {
    return {StatusFromTransportError(response), {}};
  }
  if (response.status == kOkStatus) {
    return {Status::Ok(), std::move(response.body)};
  }
  proto::Error error;
  const bool parsed = error.ParseFromString(response.body);
  const bool known_code =
      error.code() > 0 && error.code() <= static_cast<std::uint32_t>(StatusCode::kInternal);
  if (!parsed || !known_code) {
    return {Status(StatusCode::kUnknownOutcome,
                   "the peer sent an error response with an invalid body or code"),
            {}};
  }
  return {Status(static_cast<StatusCode>(error.code()), error.message(), error.detail()), {}};
}

PeerReply PeerReplyFromOutcome(HttpOutcome outcome) {
  switch (outcome.kind) {
    case HttpOutcomeKind::kAnswered:
      return PeerReplyFromResponse(std::move(outcome.response));
    case HttpOutcomeKind::kNotSent:
      return {Status(StatusCode::kUnavailable, outcome.reason), {}};
    case HttpOutcomeKind::kUnknown:
      break;
  }
  return {Status(StatusCode::kUnknownOutcome, outcome.reason), {}};
}

}  // namespace

AsioEnvironment::AsioEnvironment(EventLoop& loop, HttpClient& client, HttpRouter& peer_router,
                                 Endpoint peer_endpoint, Metrics& metrics)
    : loop_(loop),
      client_(client),
      peer_endpoint_(std::move(peer_endpoint)),
      metrics_(metrics),
      random_(SeededGenerator()),
      methods_(std::make_shared<Methods>()) {
  peer_router.Handle(
      "POST", kPeerPathPattern,
      [methods = methods_](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
        const std::string method(PathSegment(request.path, 1));
        const auto handler = methods->find(method);
        if (handler == methods->end()) {
          const Status not_served(StatusCode::kUnavailable,
                                  "this process does not serve the peer method " + method);
          responder->Send(ToHttpResponse({not_served, {}}));
          return;
        }
        const PeerRequest peer_request{std::move(request.body), std::move(request.peer_address)};
        handler->second(peer_request, [responder](PeerReply reply) {
          responder->Send(ToHttpResponse(std::move(reply)));
        });
      });
}

AsioEnvironment::~AsioEnvironment() { methods_->clear(); }

TimePoint AsioEnvironment::Now() const { return EventLoop::Now(); }

std::int64_t AsioEnvironment::WallMilliseconds() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

std::uint64_t AsioEnvironment::Random() { return random_(); }

TimerId AsioEnvironment::ScheduleAfter(Duration delay, std::function<void()> action) {
  return loop_.ScheduleAfter(delay, std::move(action));
}

void AsioEnvironment::CancelTimer(TimerId timer) { loop_.CancelTimer(timer); }

void AsioEnvironment::CallPeer(const Endpoint& to, std::string_view method, std::string body,
                               Duration deadline, PeerReplyCallback done) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kPeerPathPrefix) + std::string(method);
  request.headers.emplace_back("Content-Type", kContentType);
  request.body = std::move(body);
  client_.Call(to, std::move(request), deadline,
               [this, name = std::string(method), done = std::move(done)](HttpOutcome outcome) {
                 PeerReply reply = PeerReplyFromOutcome(std::move(outcome));
                 metrics_.Increment(
                     "peer_calls_total",
                     {{"method", name}, {"outcome", StatusCodeName(reply.status.code())}});
                 done(std::move(reply));
               });
}

void AsioEnvironment::RegisterPeerMethod(std::string_view method, PeerHandler handler) {
  methods_->insert_or_assign(std::string(method), std::move(handler));
}

}  // namespace cloverbank
