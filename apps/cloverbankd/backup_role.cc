// The backup role: the backup service, and the agent that registers the node and its disk with the
// coordinators.
#include "backup/backup_service.h"
#include "cloverbankd/node_readiness.h"
#include "cloverbankd/role.h"

namespace cloverbank {
namespace {

constexpr Duration kLoadReportInterval = seconds(1);

class BackupRole final : public Role {
 public:
  explicit BackupRole(const RoleContext& context)
      : context_(context), service_(context.environment, *context.data_folder, BackupOptions{}) {}
  ~BackupRole() override { context_.environment.CancelTimer(timer_); }
  BackupRole(const BackupRole&) = delete;
  BackupRole& operator=(const BackupRole&) = delete;

  std::string_view name() const override { return "backup"; }

  Status Start() override {
    Status loaded = service_.Load();
    if (!loaded.ok()) {
      return loaded;
    }
    NodeAgentOptions options = MakeAgentOptions(context_, proto::ROLE_BACKUP);
    options.spare = context_.settings.spare_backup;
    options.disk_id = service_.disk_id();
    agent_ = std::make_unique<NodeAgent>(context_.environment, std::move(options));
    ReportLoad();
    agent_->Start();
    return loaded;
  }

  std::optional<std::string> NotReadyReason() const override { return MissingLeaseReason(*agent_); }

 private:
  void ReportLoad() {
    agent_->SetLoad(service_.FreeBytes(), /*open_items=*/0, /*degraded=*/false);
    timer_ = context_.environment.ScheduleAfter(kLoadReportInterval, [this] { ReportLoad(); });
  }

  RoleContext context_;
  BackupService service_;
  std::unique_ptr<NodeAgent> agent_;  ///< Created in Start, because it needs the disk's id.
  TimerId timer_ = 0;
};

}  // namespace

std::unique_ptr<Role> MakeBackupRole(const RoleContext& context) {
  return std::make_unique<BackupRole>(context);
}

}  // namespace cloverbank
