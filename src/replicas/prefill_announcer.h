#pragma once
/// @file
/// Announces to the gateways of the same zone which prompts this gateway sends to which replica,
/// and receives their announcements: they send to the same replicas, and concurrent prompts at one
/// replica are the main cause of late responses. Messages are not retried, since a lost one only
/// makes an estimate less exact. The shortest prompts are not announced.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "proto/gateway.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

class PrefillAnnouncer {
 public:
  /// Runs for each call that another gateway announced.
  /// @param tokens number of tokens to prefill. @param key of the shared prefix; 0: none.
  using AnnouncementHandler =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;

  /// @return the endpoints to announce to, as they are at the time of each message.
  using Neighbours = std::function<std::vector<Endpoint>()>;

  PrefillAnnouncer(Environment& environment, Neighbours neighbours,
                   AnnouncementHandler on_announcement);
  ~PrefillAnnouncer();
  PrefillAnnouncer(const PrefillAnnouncer&) = delete;
  PrefillAnnouncer& operator=(const PrefillAnnouncer&) = delete;

  /// Announces a call of this gateway. Calls within a short time are sent in one message.
  /// @param tokens number of tokens to prefill. @param key of the shared prefix; 0: none.
  void Announce(const std::string& replica, std::uint32_t tokens, std::uint64_t key);

 private:
  void Send();

  Environment& environment_;
  Neighbours neighbours_;
  AnnouncementHandler on_announcement_;
  proto::ReportPrefillRequest pending_;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
