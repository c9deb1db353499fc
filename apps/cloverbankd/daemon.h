#pragma once
/// @file
/// One process of the serving tier: an event loop, servers on the client, peer and front endpoints,
/// and the roles that the settings name. Threads: `Start`, `Run` and all callbacks on one thread.

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "cloverbankd/role.h"
#include "net/asio_environment.h"
#include "net/beast_http_client.h"
#include "net/beast_http_server.h"
#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "proto/health.pb.h"
#include "settings/settings.h"
#include "storage/posix_data_folder.h"

namespace cloverbank {

struct DaemonOptions {
  /// Whether the client port serves /admin/faults; for test fleets only.
  bool allow_fault_injection = false;
  /// Path of the settings file, which the daemon reads again at SIGHUP; empty if there is none.
  std::string settings_path = {};
};

class Daemon {
 public:
  Daemon(Settings settings, DaemonOptions options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the data folder, starts the roles, then listens. @return the first error.
  Status Start();
  /// Runs the event loop until a stop has completed or a role failed fatally. @return the process's
  /// exit code: 0 after a stop, 1 after a failure.
  int Run();
  /// Begins a graceful shutdown, as at SIGTERM: the roles accept no new work, and calls in flight
  /// may end within the grace period. Further calls change nothing: whoever cannot wait sends
  /// SIGKILL.
  void RequestStop();

 private:
  Status OpenDataFolder();
  Status StartRoles();
  Status ListenAll();
  /// @return the existing servers for callers, those of the front interfaces first; without the
  /// peer server and the readiness server.
  std::vector<BeastHttpServer*> CallerServers() const;
  void ScheduleServerDrains();
  void ReloadSettings();
  void Fail(const Status& status);
  void StopWhenDrained();
  /// @return the components that a clean stop still waits for, separated by commas; empty if none.
  std::string UndrainedComponents() const;
  proto::ReadinessReport Readiness() const;

  // In order of dependence: members are destroyed in reverse order.
  const Settings settings_;
  const DaemonOptions options_;
  Metrics metrics_;
  FaultInjector faults_;
  EventLoop loop_;
  std::unique_ptr<BeastHttpClient> client_;
  std::unique_ptr<BeastHttpServer> client_server_;
  std::unique_ptr<BeastHttpServer> peer_server_;
  /// Servers of the front interfaces; null where the settings name none.
  std::unique_ptr<BeastHttpServer> front_calls_;
  std::unique_ptr<BeastHttpServer> front_ready_;
  std::unique_ptr<BeastHttpServer> front_control_;
  std::unique_ptr<AsioEnvironment> environment_;
  std::unique_ptr<PosixDataFolder> data_folder_;
  std::vector<std::unique_ptr<Role>> roles_;

  bool stopping_ = false;
  std::size_t servers_draining_ = 0;  ///< Servers of callers that have not finished draining.
  TimePoint stop_deadline_;
  int exit_code_ = 0;
};

}  // namespace cloverbank
