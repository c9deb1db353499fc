#include "control_client/node_registration.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

void SetEndpoint(const Endpoint& endpoint, proto::Endpoint* message) {
  message->set_host(endpoint.host);
  message->set_port(endpoint.port);
}

}  // namespace

NodeRegistration::NodeRegistration(NodeContext& context, std::function<void()> on_registered)
    : context_(context), on_registered_(std::move(on_registered)) {}

NodeRegistration::~NodeRegistration() { context_.environment.CancelTimer(timer_); }

proto::RegisterServerRequest NodeRegistration::MakeRequest() const {
  const NodeAgentOptions& options = context_.options;
  proto::RegisterServerRequest request;
  proto::Server& server = *request.mutable_server();
  server.set_role(options.role);
  SetEndpoint(context_.environment.peer_endpoint(), server.mutable_peer_endpoint());
  if (options.client_endpoint.valid()) {
    SetEndpoint(options.client_endpoint, server.mutable_client_endpoint());
  }
  server.set_zone(options.zone);
  server.set_machine(options.machine);
  server.set_incarnation(context_.session.incarnation().value());
  server.set_state(proto::SERVER_STATE_UP);
  server.set_spare(options.spare);
  server.set_disk_id(options.disk_id);
  request.set_previous_node_id(context_.session.previous_node_id().value());
  return request;
}

void NodeRegistration::Start() {
  const NodeAgentOptions& options = context_.options;
  std::string body = MakeRequest().SerializeAsString();
  LeaderCallOptions call;
  call.method = "coordinator.RegisterServer";
  call.make_body = [body = std::move(body)](std::uint32_t /*attempt*/) { return body; };
  call.deadline = kLeaderSearchDeadline;
  call.attempt_deadline = options.heartbeat_deadline;
  call.response_timeout = options.heartbeat_deadline / 2;
  call.retry_delay = options.retry_delay;
  context_.CallLeader(std::move(call),
                      [this](const LeaderReply& reply) { HandleReply(reply.reply); });
}

void NodeRegistration::HandleReply(const PeerReply& reply) {
  proto::RegisterServerResponse response;
  const bool usable =
      reply.status.ok() && response.ParseFromString(reply.body) && response.node_id() != 0;
  const std::string& machine = context_.options.machine;
  if (!usable) {
    Log(LogLevel::kWarning, "node_registration_failed",
        {{"machine", machine}, {"reason", reply.status.ToString()}});
    context_.environment.metrics().Increment("node_registration_failed_total",
                                             {{"reason", StatusCodeName(reply.status.code())}});
    ScheduleStart(context_.options.retry_delay);
    return;
  }
  context_.session.ApplyRegistration(response);
  last_registered_ = context_.environment.Now();
  Log(LogLevel::kInfo, "node_registered", {{"machine", machine}, {"node_id", response.node_id()}});
  on_registered_();
}

void NodeRegistration::StartAfterFence() {
  const Duration since = context_.environment.Now() - last_registered_;
  ScheduleStart(std::max(Duration::zero(), context_.options.retry_delay - since));
}

void NodeRegistration::ScheduleStart(Duration delay) {
  context_.environment.CancelTimer(timer_);
  timer_ = context_.environment.ScheduleAfter(delay, [this] {
    timer_ = 0;
    Start();
  });
}

}  // namespace cloverbank
