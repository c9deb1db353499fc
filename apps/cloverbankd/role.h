#pragma once
/// @file
/// The interface between the daemon and a role: starts it, asks whether it is ready, and drains it
/// before a stop.
/// Threads: the daemon's event loop only.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/status.h"
#include "control_client/coordinator_directory.h"
#include "gateway/stop_schedule.h"
#include "net/beast_http_server.h"
#include "net/http_types.h"
#include "runtime/environment.h"
#include "settings/settings.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// What the daemon passes to every role. All of it outlives the roles.
struct RoleContext {
  const Settings& settings;
  Environment& environment;
  HttpClient& client;
  HttpRouter& client_router;  ///< Routes requests on the client port.
  FrontServers front;         ///< Servers of the front interfaces that the settings name.
  /// Whether the process accepts new clients: false from the start of a graceful shutdown.
  std::function<bool()> accepts_new_clients;
  DataFolder* data_folder;  ///< Null if the settings name none.
  /// What the roles of this process know of the coordinators.
  std::shared_ptr<CoordinatorDirectory> coordinators;
  /// Ends the process with an error; a role calls it when it cannot continue.
  std::function<void(const Status&)> on_fatal;
};

class Role {
 public:
  virtual ~Role() = default;

  virtual std::string_view name() const = 0;
  /// Loads the role's data from disk and begins to serve. Called once.
  virtual Status Start() = 0;
  /// @return why the role is not ready; nothing if it is ready.
  virtual std::optional<std::string> NotReadyReason() const = 0;
  /// Stops accepting new work; work in flight continues.
  virtual void Drain(const StopSchedule& /*schedule*/) {}
  /// @return whether all work that was in flight at `Drain` has ended.
  virtual bool Drained() const { return true; }
};

std::unique_ptr<Role> MakeCoordinatorRole(const RoleContext& context);
std::unique_ptr<Role> MakeBackupRole(const RoleContext& context);
std::unique_ptr<Role> MakeQueueRole(const RoleContext& context);
std::unique_ptr<Role> MakeGatewayRole(const RoleContext& context);

}  // namespace cloverbank
