#pragma once
/// @file
/// Blocks traffic between this process and chosen IP addresses, for tests of network partitions and
/// isolation on one machine. Traffic from and to a blocked address is silently dropped: incoming
/// requests are never answered, outgoing calls time out at their deadline.
///
/// Threads: use only on the event loop's thread.

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cloverbank {

class HttpRouter;

class FaultInjector {
 public:
  /// Replaces the set of blocked IP addresses.
  void SetBlocked(const std::vector<std::string>& addresses);
  /// @return whether traffic from and to `address` is dropped.
  bool IsBlocked(std::string_view address) const {
    return blocked_.find(address) != blocked_.end();
  }

  /// Registers GET and POST /admin/faults (FaultSettings as JSON) on `router`. Only for daemons
  /// that were started with --allow-fault-injection. The injector must outlive the router.
  void ServeAdmin(HttpRouter& router);

 private:
  std::set<std::string, std::less<>> blocked_;
};

}  // namespace cloverbank
