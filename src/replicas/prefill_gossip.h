#pragma once
/// @file
/// Tells the gateways of the same zone which prompts go to which replica, and hears it of them:
/// they send to the same replicas, and prompts that meet at one replica are what makes answers
/// late. Lost messages only make an estimate worse. The shortest prompts are not worth a message.
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
  /// Runs for each call of another gateway.
  using Heard =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;

  /// The gateways to tell, as they are known now.
  using Neighbours = std::function<std::vector<Endpoint>()>;

  PrefillGossip(Environment& environment, Neighbours neighbours, Heard heard);
  ~PrefillGossip();
  PrefillGossip(const PrefillGossip&) = delete;
  PrefillGossip& operator=(const PrefillGossip&) = delete;

  /// A call of this gateway goes to the replica.
  void Announce(const std::string& replica, std::uint32_t tokens, std::uint64_t key);

 private:
  void Send();

  Environment& environment_;
  Neighbours neighbours_;
  Heard heard_;
  proto::ReportPrefillRequest pending_;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
