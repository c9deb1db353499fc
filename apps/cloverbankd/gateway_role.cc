// Assembly of the gateway: its agent and its service on the client port.
#include "cloverbankd/node_readiness.h"
#include "cloverbankd/role.h"
#include "gateway/gateway_service.h"

namespace cloverbank {
namespace {

GatewayOptions MakeGatewayOptions(const Settings& settings) {
  GatewayOptions options;
  options.zone = settings.zone;
  options.replica_list.endpoint = settings.replica_list;
  options.replica_list.interval = settings.poll_interval;
  return options;
}

class GatewayRole final : public Role {
 public:
  explicit GatewayRole(const RoleContext& context)
      : agent_(context.environment, MakeAgentOptions(context.settings, proto::ROLE_GATEWAY)),
        service_(context.environment, context.client, context.client_router, agent_,
                 MakeGatewayOptions(context.settings)) {}

  std::string_view name() const override { return "gateway"; }

  Status Start() override {
    service_.Start();
    agent_.Start();
    return Status::Ok();
  }

  std::optional<std::string> NotReadyReason() const override {
    if (auto missing = LeaseMissing(agent_)) {
      return missing;
    }
    std::string reason;
    return service_.Ready(&reason) ? std::nullopt : std::optional(reason);
  }

  void Drain() override { service_.Drain(); }
  bool Drained() const override { return service_.Drained(); }

 private:
  NodeAgent agent_;
  GatewayService service_;
};

}  // namespace

std::unique_ptr<Role> MakeGatewayRole(const RoleContext& context) {
  return std::make_unique<GatewayRole>(context);
}

}  // namespace cloverbank
