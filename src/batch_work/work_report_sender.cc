#include "batch_work/work_report_sender.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace cloverbank {

WorkReportSender::WorkReportSender(Environment& environment, NodeAgent& agent,
                                   WorkItemTable& work_items, WorkReportSenderOptions options,
                                   Events events)
    : environment_(environment),
      agent_(agent),
      work_items_(work_items),
      options_(options),
      events_(std::move(events)) {}

WorkItemTable::OwnerLookup WorkReportSender::OwnerLookup() const {
  return [this](PartitionId partition) { return FindPartitionOwner(agent_, partition); };
}

void WorkReportSender::SendDue() {
  const TimePoint now = environment_.Now();
  const std::vector<ReportAddress> with_results =
      work_items_.FindReportAddresses(OwnerLookup(), false);
  for (const ReportAddress& address : work_items_.FindReportAddresses(OwnerLookup(), true)) {
    const ReportState& state = reports_[address];
    const bool has_results = std::binary_search(with_results.begin(), with_results.end(), address);
    const bool due = has_results || now >= state.next_renewal;
    if (due && !state.in_flight && now >= state.retry_at) {
      Send(address);
    }
  }
  RemoveFormerOwners();
}

void WorkReportSender::RemoveFormerOwners() {
  std::erase_if(reports_, [this](const auto& entry) {
    return !entry.second.in_flight && !agent_.fleet().servers.contains(entry.first.owner);
  });
}

void WorkReportSender::Send(const ReportAddress& address) {
  const auto server = agent_.fleet().servers.find(address.owner);
  const auto request =
      std::make_shared<proto::ReportWorkRequest>(work_items_.TakeReports(address, OwnerLookup()));
  request->set_incarnation(agent_.incarnation().value());
  ReportState& state = reports_[address];
  state.in_flight = true;
  state.next_renewal = environment_.Now() + options_.renewal_interval;
  CallPeer<proto::ReportWorkResponse>(
      environment_, PeerEndpointFor(server->second), "queue.ReportWork", *request,
      options_.deadline,
      lifetime_.Wrap([this, address, request](const Result<proto::ReportWorkResponse>& result) {
        OnResponse(address, *request, result);
      }));
}

void WorkReportSender::OnResponse(const ReportAddress& address,
                                  const proto::ReportWorkRequest& request,
                                  const Result<proto::ReportWorkResponse>& result) {
  ReportState& state = reports_[address];
  state.in_flight = false;
  if (!result.ok()) {
    state.retry_at = environment_.Now() + options_.retry_delay;
    work_items_.RecordReportFailed(request);
    RecordQueueNodeFailure(environment_, agent_, "ReportWork", address.owner, result.status());
    return;
  }
  work_items_.RecordConfirmed(request);
  for (const std::uint64_t lease : result->ended_lease_ids()) {
    events_.on_lease_ended(WorkLeaseId(lease));
  }
  events_.on_confirmed();
}

}  // namespace cloverbank
