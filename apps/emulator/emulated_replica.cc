#include "emulator/emulated_replica.h"

#include <algorithm>

#include "json/json.h"

namespace cloverbank {
namespace {

constexpr std::string_view kLoadHeaderName = "x-cloverbank-load";
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kBadRequest = 400;

bool ReadCall(const HttpRequest& request, proto::CallRequest* call) {
  return FromJson(request.body, call, UnknownFields::kIgnore).ok();
}

}  // namespace

EmulatedReplica::EmulatedReplica(EventLoop& loop, Metrics& metrics, WitnessLog& witness,
                                 const DeployedReplica& description,
                                 const BackendBehaviour& behaviour)
    : loop_(loop),
      metrics_(metrics),
      witness_(witness),
      description_(description),
      behaviour_(behaviour) {}

EmulatedReplica::~EmulatedReplica() { loop_.CancelTimer(advance_timer_); }

Status EmulatedReplica::Start() {
  if (up()) {
    return Status::Ok();
  }
  ++instances_;
  instance_ = std::make_shared<int>(0);
  instance_id_ = description_.id + "-" +
                 std::to_string(EventLoop::Now().time_since_epoch().count()) + "-" +
                 std::to_string(instances_);
  model_ = std::make_unique<ModelReplica>(behaviour_, description_.capacity, instance_id_,
                                          EventLoop::Now());
  model_->SetSlowdown(slowdown_);
  HttpServerOptions options;
  options.listen = description_.endpoint;
  server_ = std::make_unique<BeastHttpServer>(loop_, options, metrics_, nullptr);
  server_->Handle("GET", "/health",
                  [this](const HttpRequest&, const auto& responder) { ServeHealth(responder); });
  server_->Handle("POST", "/generate", [this](const HttpRequest& request, const auto& responder) {
    ServeGenerate(request, responder);
  });
  server_->Handle("POST", "/serve", [this](const HttpRequest& request, const auto& responder) {
    ServePlain(request, responder);
  });
  Status status = server_->Listen();
  if (!status.ok()) {
    server_.reset();
  }
  return status;
}

void EmulatedReplica::Crash() {
  loop_.CancelTimer(advance_timer_);
  advance_timer_ = 0;
  for (auto& [key, call] : calls_) {
    witness_.Record("cancelled", description_.id, call.call_id, "crash");
    call.responder->Abort();
  }
  calls_.clear();
  instance_.reset();
  server_.reset();
  model_.reset();
  plain_running_ = 0;
}

void EmulatedReplica::SetSlowdown(double factor) {
  slowdown_ = factor;
  if (model_) {
    model_->SetSlowdown(factor);
  }
}

HttpHeaders EmulatedReplica::LoadHeader() const {
  const bool is_model = description_.kind == proto::BACKEND_KIND_MODEL;
  const std::uint32_t running = is_model ? model_->running() : plain_running_;
  const std::uint32_t queued = is_model ? model_->queued() : 0;
  return {{std::string(kLoadHeaderName), std::to_string(running) + "/" + std::to_string(queued) +
                                             "/" + std::to_string(description_.capacity)}};
}

void EmulatedReplica::ServeHealth(const std::shared_ptr<HttpResponder>& responder) {
  if (dark_) {
    return;
  }
  const bool loaded = model_->Loaded(EventLoop::Now());
  responder->Send({loaded ? 200 : kServiceUnavailable, LoadHeader(), loaded ? "ok" : "loading"});
}

void EmulatedReplica::Refuse(const std::shared_ptr<HttpResponder>& responder, int http_status,
                             const std::string& call_id, const std::string& reason) {
  witness_.Record("refused", description_.id, call_id, reason);
  if (!dark_) {
    HttpHeaders headers = LoadHeader();
    headers.emplace_back("X-Call-Id", call_id);
    responder->Send({http_status, std::move(headers), reason});
  }
}

void EmulatedReplica::ServeGenerate(const HttpRequest& request,
                                    const std::shared_ptr<HttpResponder>& responder) {
  proto::CallRequest call;
  if (!ReadCall(request, &call) || description_.kind != proto::BACKEND_KIND_MODEL) {
    Refuse(responder, kBadRequest, call.call_id(), "not a model call");
    return;
  }
  const std::string key = std::to_string(++next_call_key_);
  switch (model_->Start(EventLoop::Now(), key, call)) {
    case StartOutcome::kAccepted:
      break;
    case StartOutcome::kFull:
      Refuse(responder, kTooManyRequests, call.call_id(), "full");
      return;
    case StartOutcome::kLoading:
      Refuse(responder, kServiceUnavailable, call.call_id(), "loading");
      return;
    case StartOutcome::kTooLarge:
      Refuse(responder, kBadRequest, call.call_id(), "larger than the KV cache");
      return;
  }
  witness_.Record("start", description_.id, call.call_id());
  calls_[key] = OpenCall{responder, call.call_id(), false};
  responder->OnDisconnect([this, key, instance = std::weak_ptr<int>(instance_)] {
    if (instance.lock() == nullptr || calls_.count(key) == 0) {
      return;
    }
    witness_.Record("cancelled", description_.id, calls_[key].call_id, "caller left");
    model_->Cancel(key);
    calls_.erase(key);
  });
  ScheduleAdvance();
}

void EmulatedReplica::ScheduleAdvance() {
  loop_.CancelTimer(advance_timer_);
  advance_timer_ = 0;
  const auto next = model_->NextEvent();
  if (!next) {
    return;
  }
  const Duration delay = std::max(Duration::zero(), *next - EventLoop::Now());
  advance_timer_ = loop_.ScheduleAfter(delay, [this] {
    advance_timer_ = 0;
    for (const EmittedChunk& emitted : model_->Advance(EventLoop::Now())) {
      Emit(emitted);
    }
    ScheduleAdvance();
  });
}

void EmulatedReplica::Emit(const EmittedChunk& emitted) {
  const auto found = calls_.find(emitted.call_key);
  if (found == calls_.end()) {
    return;
  }
  OpenCall& call = found->second;
  if (emitted.chunk.end()) {
    witness_.Record("end", description_.id, call.call_id, emitted.chunk.run_id());
  }
  if (!dark_) {
    if (!call.head_sent) {
      call.head_sent = true;
      HttpHeaders headers = LoadHeader();
      headers.emplace_back("content-type", "application/x-ndjson");
      call.responder->StartStream(200, std::move(headers));
    }
    call.responder->WriteChunk(ToJson(emitted.chunk) + "\n", [](bool) {});
    if (emitted.chunk.end()) {
      call.responder->FinishStream();
    }
  }
  if (emitted.chunk.end()) {
    calls_.erase(found);
  }
}

void EmulatedReplica::ServePlain(const HttpRequest& request,
                                 const std::shared_ptr<HttpResponder>& responder) {
  proto::CallRequest call;
  if (!ReadCall(request, &call) || description_.kind != proto::BACKEND_KIND_SERVICE) {
    Refuse(responder, kBadRequest, call.call_id(), "not a service call");
    return;
  }
  if (!model_->Loaded(EventLoop::Now())) {
    Refuse(responder, kServiceUnavailable, call.call_id(), "loading");
    return;
  }
  if (plain_running_ >= description_.capacity) {
    Refuse(responder, kTooManyRequests, call.call_id(), "full");
    return;
  }
  ++plain_running_;
  witness_.Record("start", description_.id, call.call_id());
  const Duration time(
      static_cast<Duration::rep>(static_cast<double>(behaviour_.service_time.count()) * slowdown_));
  loop_.ScheduleAfter(time, [this, call, responder, instance = std::weak_ptr<int>(instance_)] {
    if (instance.lock() != nullptr) {
      AnswerPlain(call, responder);
    }
  });
}

void EmulatedReplica::AnswerPlain(const proto::CallRequest& call,
                                  const std::shared_ptr<HttpResponder>& responder) {
  --plain_running_;
  witness_.Record("end", description_.id, call.call_id());
  if (dark_) {
    return;
  }
  proto::CallAnswer answer;
  answer.set_call_id(call.call_id());
  answer.set_run_id(instance_id_);
  answer.set_text(ExpectedAnswer(call.prompt(), 1));
  answer.set_tokens(1);
  HttpHeaders headers = LoadHeader();
  headers.emplace_back("content-type", "application/json");
  responder->Send({200, std::move(headers), ToJson(answer)});
}

}  // namespace cloverbank
