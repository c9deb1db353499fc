#include "queue/queue_service.h"

#include "base/logging.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

QueueService::QueueService(Environment& environment, NodeAgent& agent, QueueOptions options)
    : environment_(environment), agent_(agent), options_(options) {}

QueueService::~QueueService() = default;

void QueueService::Start() {
  ServeBatches();
  ServeTokens();
  ServeWork();
  ServeRecovery();
  const std::weak_ptr<bool> alive = alive_;
  const auto if_alive = [alive](std::function<void()> action) {
    return [alive, action = std::move(action)] {
      if (!alive.expired()) {
        action();
      }
    };
  };
  agent_.OnRegistered(if_alive([this] { BeginIncarnation(); }));
  agent_.OnFenced(if_alive([this] { EndIncarnation(); }));
  agent_.OnFleet(if_alive([this] {
    if (incarnation_ != nullptr) {
      incarnation_->OnFleet();
    }
  }));
  agent_.OnConfiguration(if_alive([this] {
    if (incarnation_ != nullptr) {
      incarnation_->OnConfiguration();
    }
  }));
}

void QueueService::BeginIncarnation() {
  EndIncarnation();
  incarnation_ = std::make_shared<QueueNodeIncarnation>(
      environment_, agent_, options_,
      [this](const std::string& reason) { agent_.AbandonNodeId(reason); });
  Log(LogLevel::kInfo, "queue_incarnation_started", {{"node", agent_.node_id().value()}});
  incarnation_->Start();
}

void QueueService::EndIncarnation() {
  if (incarnation_ == nullptr) {
    return;
  }
  Log(LogLevel::kWarning, "queue_incarnation_ended", {});
  environment_.metrics().Increment("queue_incarnations_ended_total");
  const std::shared_ptr<QueueNodeIncarnation> ended = std::move(incarnation_);
  incarnation_ = nullptr;
  ended->Stop();
  // Keeps the incarnation alive until a later turn of the event loop: one of its functions may be
  // on the call stack now, and its log still has to answer pending appends.
  environment_.ScheduleAfter(Duration::zero(), [ended] {});
}

template <typename Handler, typename Request, typename Response>
void QueueService::Serve(std::string_view method, Handler& (QueueNodeIncarnation::*get_handler)(),
                         void (Handler::*handle)(const Request&,
                                                 const std::function<void(Result<Response>)>&)) {
  ServePeer<Request, Response>(
      environment_, method,
      [this, get_handler, handle, alive = std::weak_ptr<bool>(alive_), name = std::string(method)](
          const Request& request, const std::string&, std::function<void(Result<Response>)> reply) {
        if (alive.expired() || incarnation_ == nullptr) {
          reply(Status(StatusCode::kUnavailable, "this queue node is not registered"));
          return;
        }
        const auto count_and_reply = [this, alive, name, reply](Result<Response> result) {
          if (!result.ok() && !alive.expired()) {
            environment_.metrics().Increment(
                "queue_refusals_total",
                {{"method", name}, {"reason", StatusCodeName(result.status().code())}});
          }
          reply(std::move(result));
        };
        (((*incarnation_).*get_handler)().*handle)(request, count_and_reply);
      });
}

void QueueService::ServeBatches() {
  const auto batch_request_handler = &QueueNodeIncarnation::batch_request_handler;
  Serve("queue.SubmitBatch", batch_request_handler, &BatchRequestHandler::Submit);
  Serve("queue.FindSubmission", batch_request_handler, &BatchRequestHandler::FindSubmission);
  Serve("queue.GetBatch", batch_request_handler, &BatchRequestHandler::Get);
  Serve("queue.ListBatches", batch_request_handler, &BatchRequestHandler::ListBatches);
  Serve("queue.ListResults", batch_request_handler, &BatchRequestHandler::ListResults);
  Serve("queue.GetItem", batch_request_handler, &BatchRequestHandler::GetItem);
  Serve("queue.CancelBatch", batch_request_handler, &BatchRequestHandler::Cancel);
}

void QueueService::ServeTokens() {
  const auto token_request_handler = &QueueNodeIncarnation::token_request_handler;
  Serve("queue.ReserveTokens", token_request_handler, &TokenRequestHandler::ReserveTokens);
  Serve("queue.CountOpenTokens", token_request_handler, &TokenRequestHandler::CountOpenTokens);
}

void QueueService::ServeWork() {
  const auto work_request_handler = &QueueNodeIncarnation::work_request_handler;
  Serve("queue.AcquireWork", work_request_handler, &WorkRequestHandler::Acquire);
  Serve("queue.ReportWork", work_request_handler, &WorkRequestHandler::Report);
}

void QueueService::ServeRecovery() {
  Serve("queue.RecoverPartitions", &QueueNodeIncarnation::ownership, &PartitionOwnership::Recover);
}

}  // namespace cloverbank
