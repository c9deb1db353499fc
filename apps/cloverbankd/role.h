#pragma once
/// @file
/// What the daemon knows of a role: how to start it, whether it is ready, how to stop it cleanly.
/// Threads: the daemon's event loop only.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/status.h"
#include "net/beast_http_server.h"
#include "net/http_types.h"
#include "runtime/environment.h"
#include "settings/settings.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// What every role is built from. All of it outlives the roles.
struct RoleContext {
  const Settings& settings;
  Environment& environment;
  HttpClient& client;
  HttpRouter& client_router;  ///< Of the client port.
  FrontServers front;         ///< Of the front interfaces that the settings name.
  /// Whether the process accepts new clients: false from the start of a graceful shutdown.
  std::function<bool()> taking_callers;
  DataFolder* data_folder;  ///< Null if the settings name none.
  /// Ends the process: the role can not go on.
  std::function<void(const Status&)> on_fatal;
};

class Role {
 public:
  virtual ~Role() = default;

  virtual std::string_view name() const = 0;
  /// Reads the disk and begins to serve. Called once.
  virtual Status Start() = 0;
  /// @return what is missing until the role does its work; nothing when it is ready.
  virtual std::optional<std::string> NotReadyReason() const = 0;
  /// Accepts no new work; what is in flight continues.
  virtual void Drain() {}
  /// @return whether everything that was in flight at `Drain` has ended.
  virtual bool Drained() const { return true; }
};

std::unique_ptr<Role> MakeCoordinatorRole(const RoleContext& context);
std::unique_ptr<Role> MakeBackupRole(const RoleContext& context);
std::unique_ptr<Role> MakeQueueRole(const RoleContext& context);
std::unique_ptr<Role> MakeGatewayRole(const RoleContext& context);

}  // namespace cloverbank
