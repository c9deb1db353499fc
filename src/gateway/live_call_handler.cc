#include "gateway/live_call_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "base/checksum.h"
#include "calls/http_json.h"
#include "gateway/admission_response.h"
#include "net/http_status.h"
#include "routes/route_match.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr int kHttpTooLarge = 413;
constexpr int kHttpKeyReused = 422;
constexpr std::size_t kRouteSegment = 2;  // Of /v1/call/{route}.
constexpr std::size_t kMaximumKeyBytes = 256;
constexpr Duration kRetryAfter = milliseconds(500);
constexpr int kHexDigits = 16;

std::optional<milliseconds> ParseDeadline(std::string_view text) {
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc() || stop != end || count <= 0) {
    return std::nullopt;
  }
  return milliseconds(count);
}

LiveCallHeaders ParseHeaders(const HttpRequest& request) {
  const std::string_view deadline = FindHeader(request.headers, "X-Deadline-Ms");
  LiveCallHeaders headers;
  headers.tenant = FindHeader(request.headers, "X-Tenant");
  headers.idempotency_key = FindHeader(request.headers, "Idempotency-Key");
  headers.has_deadline = !deadline.empty();
  headers.deadline = ParseDeadline(deadline);
  return headers;
}

std::string ToHex(std::uint64_t number) {
  std::array<char, kHexDigits> digits{};
  const auto [stop, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, kHexDigits);
  return std::string(digits.data(), stop);
}

std::string CacheKey(std::string_view tenant, std::string_view route, std::string_view key) {
  std::string cache_key;
  for (const std::string_view part : {tenant, route, key}) {
    cache_key += std::to_string(part.size());
    cache_key += ':';
    cache_key += part;
  }
  return cache_key;
}

}  // namespace

LiveCallHandler::LiveCallHandler(const CallContext& context, const GatewayOptions& options)
    : context_(context),
      options_(options),
      idempotency_cache_(options.idempotency),
      call_id_prefix_(context.attempt.environment.Random()) {}

LiveCallHandler::~LiveCallHandler() = default;

void LiveCallHandler::Register(HttpRouter& router) {
  router.Handle("POST", "/v1/call/{route}",
                [this](const HttpRequest& request, const Responder& responder) {
                  Handle(request, responder);
                });
}

void LiveCallHandler::Handle(const HttpRequest& request, const Responder& responder) {
  const proto::Route* route = FindRouteOrRefuse(request, *responder);
  if (route == nullptr) {
    return;
  }
  const LiveCallHeaders headers = ParseHeaders(request);
  if (const std::optional<RequestProblem> problem = FindProblem(request, headers)) {
    Refuse(*responder, problem->http_status, problem->code, problem->message, Duration::zero());
    return;
  }
  proto::CallRequest body;
  const Status parsed = FromJson(request.body, &body);
  if (!parsed.ok()) {
    Refuse(*responder, kHttpBadRequest, "invalid_request", parsed.message(), Duration::zero());
    return;
  }
  std::string key;
  if (!headers.idempotency_key.empty()) {
    key = CacheKey(headers.tenant, route->name(), headers.idempotency_key);
    if (!ReserveKey(key, Checksum(request.body), body.stream(), responder)) {
      return;
    }
  }
  if (!Admit(*route, headers.tenant, key, *responder)) {
    return;
  }
  LiveCall::Options options;
  options.stream = body.stream();
  options.idempotency_key = std::move(key);
  StartCall(responder, MakeSpec(*route, headers), std::move(options), std::move(body));
}

std::optional<LiveCallHandler::RequestProblem> LiveCallHandler::FindProblem(
    const HttpRequest& request, const LiveCallHeaders& headers) const {
  if (request.body.size() > options_.calls.maximum_request_bytes) {
    return RequestProblem{kHttpTooLarge, "request_too_large",
                          "the body has " + std::to_string(request.body.size()) +
                              " bytes, expected at most " +
                              std::to_string(options_.calls.maximum_request_bytes)};
  }
  if (headers.has_deadline && !headers.deadline) {
    return RequestProblem{kHttpBadRequest, "invalid_deadline",
                          "X-Deadline-Ms must be a whole number of milliseconds above 0"};
  }
  if (headers.idempotency_key.size() > kMaximumKeyBytes) {
    return RequestProblem{kHttpBadRequest, "invalid_idempotency_key",
                          "Idempotency-Key has " + std::to_string(headers.idempotency_key.size()) +
                              " bytes, expected at most " + std::to_string(kMaximumKeyBytes)};
  }
  return std::nullopt;
}

const proto::Route* LiveCallHandler::FindRouteOrRefuse(const HttpRequest& request,
                                                       HttpResponder& responder) {
  if (draining_) {
    Refuse(responder, kHttpUnavailable, "gateway_stopping",
           "this gateway is stopping; try another gateway", kRetryAfter);
    return nullptr;
  }
  if (!context_.permission.IsValid()) {
    Refuse(responder, kHttpUnavailable, "lease_expired",
           "this gateway has no valid lease from the coordinators; try another gateway",
           kRetryAfter);
    return nullptr;
  }
  const std::string_view name = PathSegment(request.path, kRouteSegment);
  const proto::Route* route = FindRouteNamed(context_.permission.configuration(), name);
  if (route == nullptr) {
    Refuse(responder, kHttpNotFound, "unknown_route",
           "there is no route \"" + std::string(name) + "\"", Duration::zero());
  }
  return route;
}

bool LiveCallHandler::Admit(const proto::Route& route, std::string_view tenant_name,
                            const std::string& key, HttpResponder& responder) {
  const proto::Tenant* tenant = FindTenant(context_.permission.configuration(), tenant_name);
  const auto refusal =
      context_.queue.admission().Admit(route, tenant, context_.attempt.environment.Now());
  if (!refusal) {
    return true;
  }
  idempotency_cache_.Forget(key, {});
  Refuse(responder, HttpStatusForRefusal(refusal->refusal),
         std::string(RefusalName(refusal->refusal)), "too many calls; retry later",
         refusal->retry_after);
  return false;
}

CallSpec LiveCallHandler::MakeSpec(const proto::Route& route,
                                   const LiveCallHeaders& headers) const {
  const TimePoint now = context_.attempt.environment.Now();
  Duration timeout = options_.calls.default_deadline;
  if (route.deadline_ms() != 0) {
    timeout = milliseconds(route.deadline_ms());
  }
  if (headers.deadline && *headers.deadline < timeout) {
    timeout = *headers.deadline;
  }
  CallSpec spec;
  spec.route = ReferenceByName(route.name());
  spec.route_name = route.name();
  spec.priority = route.priority();
  spec.idempotent = route.idempotent();
  spec.deadline = now + timeout;
  spec.wait_until = std::min(spec.deadline, now + options_.admission.longest_wait);
  return spec;
}

void LiveCallHandler::StartCall(const Responder& responder, CallSpec spec,
                                LiveCall::Options options, proto::CallRequest body) {
  const std::string call_id = NewCallId();
  body.set_call_id(call_id);
  auto call = std::make_shared<LiveCall>(
      context_, responder, std::move(options), idempotency_cache_,
      [this, call_id, name = spec.route_name] { OnCallFinished(call_id, name); });
  calls_.emplace(call_id, call);
  call->Start(std::move(spec), std::move(body));
}

bool LiveCallHandler::ReserveKey(const std::string& key, std::uint64_t fingerprint, bool stream,
                                 const Responder& responder) {
  switch (idempotency_cache_.Begin(key, fingerprint, context_.attempt.environment.Now())) {
    case KeyState::kNew:
      return true;
    case KeyState::kRunning:
      idempotency_cache_.Join(key, [responder, stream](const CachedResponse& cached) {
        SendCached(*responder, cached, stream);
      });
      return false;
    case KeyState::kFinished:
      context_.attempt.environment.metrics().Increment("gateway_cached_responses_total");
      SendCached(*responder, *idempotency_cache_.Find(key), stream);
      return false;
    case KeyState::kMismatch:
      Refuse(*responder, kHttpKeyReused, "idempotency_key_reused",
             "this Idempotency-Key was used with another body; choose a new key", Duration::zero());
      return false;
  }
  return false;
}

void LiveCallHandler::Refuse(HttpResponder& responder, int http_status, const std::string& code,
                             const std::string& message, Duration retry_after) {
  Environment& environment = context_.attempt.environment;
  environment.metrics().Increment("gateway_refusals_total", {{"reason", code}});
  proto::CallError error;
  error.set_code(code);
  error.set_message(message);
  error.set_executed(proto::EXECUTED_NO);
  if (retry_after >= milliseconds(1)) {
    error.set_retry_after_ms(JitteredRetryAfterMs(retry_after, environment.Random()));
  }
  SendError(responder, http_status, error);
}

void LiveCallHandler::EndUnansweredCalls() {
  const auto running = calls_;  // A call that ends removes itself.
  for (const auto& [id, call] : running) {
    call->EndUnanswered();
  }
}

std::string LiveCallHandler::NewCallId() {
  return ToHex(call_id_prefix_) + "-" + ToHex(next_call_number_++);
}

void LiveCallHandler::OnCallFinished(const std::string& call_id, const std::string& route) {
  context_.queue.admission().Finish(route);
  calls_.erase(call_id);
}

}  // namespace cloverbank
