#pragma once
/// @file
/// Announces to the gateways of the same zone which prompts go to which replica, and receives their
/// announcements: they send to the same replicas, and concurrent prompts at one replica are the
/// main cause of late responses. A lost message only makes an estimate less exact. The shortest
/// prompts are not announced.
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

class PrefillGossip {
 public:
  /// Runs for each announced call of another gateway.
  using AnnouncementHandler =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;

  /// The current neighbours.
  using Neighbours = std::function<std::vector<Endpoint>()>;

  PrefillGossip(Environment& environment, Neighbours neighbours,
                AnnouncementHandler on_announcement);
  ~PrefillGossip();
  PrefillGossip(const PrefillGossip&) = delete;
  PrefillGossip& operator=(const PrefillGossip&) = delete;

  /// Announces a call of this gateway. Batched.
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
