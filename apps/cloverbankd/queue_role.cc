// The queue role: its agent and its service.
#include "cloverbankd/node_readiness.h"
#include "cloverbankd/role.h"
#include "queue/queue_service.h"

namespace cloverbank {
namespace {

QueueOptions MakeQueueOptions(const Settings& settings) {
  QueueOptions options;
  options.log.segment_bytes = settings.segment_bytes;
  options.log.replicas = settings.replicas;
  options.log.minimum_replicas = settings.minimum_replicas;
  return options;
}

class QueueRole final : public Role {
 public:
  explicit QueueRole(const RoleContext& context)
      : agent_(context.environment, MakeAgentOptions(context, proto::ROLE_QUEUE)),
        service_(context.environment, agent_, MakeQueueOptions(context.settings)) {}

  std::string_view name() const override { return "queue"; }

  Status Start() override {
    service_.Start();
    agent_.Start();
    return Status::Ok();
  }

  std::optional<std::string> NotReadyReason() const override { return MissingLeaseReason(agent_); }

 private:
  NodeAgent agent_;
  QueueService service_;
};

}  // namespace

std::unique_ptr<Role> MakeQueueRole(const RoleContext& context) {
  return std::make_unique<QueueRole>(context);
}

}  // namespace cloverbank
