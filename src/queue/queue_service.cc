#include "queue/queue_service.h"

#include "base/logging.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

QueueService::QueueService(Environment& environment, NodeAgent& agent, QueueOptions options)
    : environment_(environment), agent_(agent), options_(options) {}

QueueService::~QueueService() = default;

void QueueService::Start() {
  ServeBatches();
  ServeWork();
  const std::weak_ptr<bool> alive = alive_;
  const auto guarded = [alive](std::function<void()> action) {
    return [alive, action = std::move(action)] {
      if (!alive.expired()) {
        action();
      }
    };
  };
  agent_.OnRegistered(guarded([this] { BeginIncarnation(); }));
  agent_.OnFenced(guarded([this] { EndIncarnation(); }));
  agent_.OnFleet(guarded([this] {
    if (incarnation_ != nullptr) {
      incarnation_->OnFleet();
    }
  }));
  agent_.OnConfiguration(guarded([this] {
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
  // It may be on the stack now, and its log's last answers are still to come.
  environment_.ScheduleAfter(Duration::zero(), [ended] {});
}

template <typename Request, typename Response>
void QueueService::Serve(std::string_view method,
                         void (QueueNodeIncarnation::*handler)(
                             const Request&, const QueueNodeIncarnation::Reply<Response>&)) {
  ServePeer<Request, Response>(
      environment_, method,
      [this, handler, alive = std::weak_ptr<bool>(alive_), name = std::string(method)](
          const Request& request, const std::string&, std::function<void(Result<Response>)> reply) {
        if (alive.expired() || incarnation_ == nullptr) {
          reply(Status(StatusCode::kUnavailable, "this queue node is not registered"));
          return;
        }
        const auto counted = [this, alive, name, reply](Result<Response> result) {
          if (!result.ok() && !alive.expired()) {
            environment_.metrics().Increment(
                "queue_refusals_total",
                {{"method", name}, {"reason", StatusCodeName(result.status().code())}});
          }
          reply(std::move(result));
        };
        ((*incarnation_).*handler)(request, counted);
      });
}

void QueueService::ServeBatches() {
  Serve<proto::SubmitBatchRequest, proto::SubmitBatchResponse>("queue.SubmitBatch",
                                                               &QueueNodeIncarnation::Submit);
  Serve<proto::ReserveTokensRequest, proto::ReserveTokensResponse>(
      "queue.ReserveTokens", &QueueNodeIncarnation::ReserveTokens);
  Serve<proto::CountOpenTokensRequest, proto::CountOpenTokensResponse>(
      "queue.CountOpenTokens", &QueueNodeIncarnation::CountOpenTokens);
  Serve<proto::GetBatchRequest, proto::GetBatchResponse>("queue.GetBatch",
                                                         &QueueNodeIncarnation::Get);
  Serve<proto::ListBatchesRequest, proto::ListBatchesResponse>("queue.ListBatches",
                                                               &QueueNodeIncarnation::ListBatches);
  Serve<proto::ListResultsRequest, proto::ListResultsResponse>("queue.ListResults",
                                                               &QueueNodeIncarnation::ListResults);
  Serve<proto::GetItemRequest, proto::GetItemResponse>("queue.GetItem",
                                                       &QueueNodeIncarnation::GetItem);
  Serve<proto::CancelBatchRequest, proto::CancelBatchResponse>("queue.CancelBatch",
                                                               &QueueNodeIncarnation::Cancel);
}

void QueueService::ServeWork() {
  Serve<proto::AcquireWorkRequest, proto::AcquireWorkResponse>("queue.AcquireWork",
                                                               &QueueNodeIncarnation::Acquire);
  Serve<proto::ReportWorkRequest, proto::ReportWorkResponse>("queue.ReportWork",
                                                             &QueueNodeIncarnation::Report);
  Serve<proto::RecoverPartitionsRequest, proto::RecoverPartitionsResponse>(
      "queue.RecoverPartitions", &QueueNodeIncarnation::Recover);
}

}  // namespace cloverbank
