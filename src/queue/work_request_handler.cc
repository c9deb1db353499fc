#include "queue/work_request_handler.h"

#include <utility>

namespace cloverbank {

WorkRequestHandler::WorkRequestHandler(const PartitionOwnership& ownership,
                                       WorkDispatcher& dispatcher)
    : ownership_(ownership), dispatcher_(dispatcher) {}

void WorkRequestHandler::Acquire(const proto::AcquireWorkRequest& request,
                                 const WorkDispatcher::AcquireReply& reply) {
  if (Status status = ownership_.RequireLease(); !status.ok()) {
    reply(std::move(status));
    return;
  }
  dispatcher_.Acquire(request, reply);
}

void WorkRequestHandler::Report(const proto::ReportWorkRequest& request,
                                const WorkDispatcher::ReportReply& reply) {
  if (Status status = ownership_.RequireLease(); !status.ok()) {
    reply(std::move(status));
    return;
  }
  dispatcher_.Report(request, reply);
}

}  // namespace cloverbank
