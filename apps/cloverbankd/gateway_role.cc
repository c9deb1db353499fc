// The gateway role: its agent, its service on the client port and, if the settings ask for it, the
// platform adapter.
#include "cloverbankd/node_readiness.h"
#include "cloverbankd/role.h"
#include "control_client/coordinator_referral.h"
#include "gateway/gateway_service.h"
#include "platform/adapter.h"

namespace cloverbank {
namespace {

GatewayOptions MakeGatewayOptions(const Settings& settings) {
  GatewayOptions options;
  options.zone = settings.zone;
  options.replica_list.endpoint = settings.replica_list;
  options.replica_list.interval = settings.poll_interval;
  options.replica_list.shared = settings.share_list;
  options.probe.enabled = settings.probe_replicas;
  options.serve_without_control = settings.serve_without_control;
  if (settings.platform_adapter) {
    platform::ConfigureGatewayOptions(&options);
  }
  return options;
}

class GatewayRole final : public Role {
 public:
  explicit GatewayRole(const RoleContext& context)
      : agent_(context.environment, MakeAgentOptions(context, proto::ROLE_GATEWAY)),
        service_(context.environment, context.client, context.client_router, agent_,
                 MakeGatewayOptions(context.settings)),
        front_(context.front),
        linger_(context.settings.stop_linger),
        environment_(context.environment) {
    if (context.settings.platform_adapter) {
      adapter_ = std::make_unique<platform::Adapter>(
          context.environment, service_, agent_, context.front,
          [this, accepts = context.accepts_new_clients] {
            return accepts() && service_.Ready(nullptr);
          },
          platform::OperatorInterfaceOptions{.node = context.settings.machine,
                                             .endpoint = context.settings.front_control,
                                             .zones = context.settings.zone_regions});
    }
    if (!context.settings.roles.coordinator) {
      referral_ = std::make_unique<CoordinatorReferral>(context.environment, agent_);
    }
    agent_.OnConfiguration([this] { ApplyCallerLimits(); });
  }

  std::string_view name() const override { return "gateway"; }

  Status Start() override {
    service_.Start();
    agent_.Start();
    return Status::Ok();
  }

  std::optional<std::string> NotReadyReason() const override {
    if (auto missing = MissingLeaseReason(agent_)) {
      return missing;
    }
    std::string reason;
    return service_.Ready(&reason) ? std::nullopt : std::optional(reason);
  }

  void Drain(const StopSchedule& schedule) override {
    service_.Drain(schedule);
    for (BeastHttpServer* server : {front_.calls, front_.control}) {
      if (server != nullptr) {
        server->EndConnections();
      }
    }
    linger_until_ = environment_.Now() + linger_;
  }
  bool Drained() const override {
    return service_.Drained() && environment_.Now() >= linger_until_;
  }

 private:
  /// Sets the bounds on callers' requests to those of the current configuration.
  void ApplyCallerLimits() {
    if (front_.calls == nullptr || !agent_.configuration().document().has_limits()) {
      return;
    }
    const proto::CallerLimits& configured = agent_.configuration().document().limits();
    CallerBounds bounds;
    bounds.maximum_header_bytes = configured.header_bytes();
    bounds.maximum_body_bytes = configured.body_bytes();
    bounds.header_timeout = milliseconds(configured.header_timeout_ms());
    bounds.idle_timeout = milliseconds(configured.idle_timeout_ms());
    front_.calls->SetBounds(bounds);
  }

  NodeAgent agent_;
  GatewayService service_;
  const FrontServers front_;
  const Duration linger_;
  Environment& environment_;
  TimePoint linger_until_{};
  std::unique_ptr<CoordinatorReferral> referral_;
  std::unique_ptr<platform::Adapter> adapter_;  ///< Only if the settings ask for it.
};

}  // namespace

std::unique_ptr<Role> MakeGatewayRole(const RoleContext& context) {
  return std::make_unique<GatewayRole>(context);
}

}  // namespace cloverbank
