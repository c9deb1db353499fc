#pragma once
/// @file
/// Tells the gateways of the same zone which long prompts go to which replica, and hears it of
/// them: they send to the same replicas, and a collision of two long prompts is what makes answers
/// late. Lost messages only make an estimate worse. Short prompts are not worth a message.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "node/node_agent.h"
#include "proto/gateway.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

class PrefillGossip {
 public:
  /// Runs for each call of another gateway.
  using Heard =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;

  PrefillGossip(Environment& environment, NodeAgent& agent, Heard heard);
  ~PrefillGossip();
  PrefillGossip(const PrefillGossip&) = delete;
  PrefillGossip& operator=(const PrefillGossip&) = delete;

  /// A call of this gateway goes to the replica.
  void Tell(const std::string& replica, std::uint32_t tokens, std::uint64_t key);

 private:
  void Send();

  Environment& environment_;
  NodeAgent& agent_;
  Heard heard_;
  proto::NotePrefillRequest pending_;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
