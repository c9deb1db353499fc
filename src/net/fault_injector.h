#pragma once
/// @file
/// Cuts this process off from chosen IP numbers, for tests of splits and isolation on one machine.
/// Traffic from and to a blocked number is swallowed without a sign: incoming requests are never
/// answered, outgoing calls time out at their deadline.
///
/// Threads: the owner's event loop only.

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cloverbank {

class HttpRouter;

class FaultInjector {
 public:
  /// Replaces the list of blocked IP numbers.
  void SetBlocked(const std::vector<std::string>& addresses);
  bool IsBlocked(std::string_view address) const {
    return blocked_.find(address) != blocked_.end();
  }

  /// Serves GET and POST /admin/faults (FaultSettings as JSON). Only for daemons that were started
  /// with --allow-fault-injection. The injector must outlive the router.
  void ServeAdmin(HttpRouter& router);

 private:
  std::set<std::string, std::less<>> blocked_;
};

}  // namespace cloverbank
