#include "simulation/simulated_network.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/logging.h"

namespace cloverbank {

void SimulatedNetwork::AddEndpoint(const Endpoint& endpoint, FindProcess find) {
  endpoints_[endpoint] = std::move(find);
}

void SimulatedNetwork::Heal(const std::string& host) {
  std::erase_if(cuts_,
                [&host](const auto& cut) { return cut.first == host || cut.second == host; });
}

void SimulatedNetwork::Call(const std::shared_ptr<SimulatedProcess>& caller,
                            const std::string& from_host, const Endpoint& to,
                            std::string_view method, std::string body, Duration deadline,
                            PeerReplyCallback done) {
  const std::weak_ptr<SimulatedProcess> weak_caller = caller;
  const std::uint64_t id = caller->AddCall(std::move(done));
  const auto call = std::make_shared<PendingCall>(
      PendingCall{weak_caller, id, from_host, to, std::string(method), 1, 0});
  queue_.Schedule(queue_.now() + deadline, [weak_caller, id] {
    const auto process = weak_caller.lock();
    if (process) {
      process->Deliver([raw = process.get(), id] {
        raw->FinishCall(id,
                        {Status(StatusCode::kUnknownOutcome, "no reply before the deadline"), {}});
      });
    }
  });
  if (from_host != to.host && random_.Chance(behaviour_.request_duplication)) {
    call->copies = 2;
  }
  const auto shared_body = std::make_shared<const std::string>(std::move(body));
  for (int copy = 0; copy < call->copies; ++copy) {
    Transmit({from_host, to.host, shared_body->size()}, behaviour_.request_loss,
             [this, call, shared_body] { DeliverRequest(call, shared_body); });
  }
}

TimePoint SimulatedNetwork::ReserveLink(const Message& message) {
  const bool within_host = message.from == message.to;
  if (behaviour_.link_bytes_per_second == 0 || within_host) {
    return queue_.now();
  }
  const double seconds_taken =
      static_cast<double>(message.bytes) / static_cast<double>(behaviour_.link_bytes_per_second);
  TimePoint& free_at = link_free_at_[message.from];
  free_at = std::max(free_at, queue_.now()) +
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds_taken));
  return free_at;
}

void SimulatedNetwork::Transmit(const Message& message, double loss, std::function<void()> arrive) {
  const bool within_host = message.from == message.to;
  if (!within_host && (random_.Chance(loss) || IsPartitioned(message.from, message.to))) {
    return;
  }
  const Duration delay = random_.Between(behaviour_.minimum_delay, behaviour_.maximum_delay);
  queue_.Schedule(ReserveLink(message) + delay,
                  [this, from = message.from, to = message.to, arrive = std::move(arrive)] {
                    if (!IsPartitioned(from, to)) {
                      arrive();
                    }
                  });
}

void SimulatedNetwork::DeliverRequest(const CallPointer& call, const Body& body) {
  const auto found = endpoints_.find(call->to);
  const auto callee = found == endpoints_.end() ? nullptr : found->second();
  if (!callee) {
    SendCopyReply(
        call,
        {Status(StatusCode::kUnavailable, "connection refused by " + call->to.ToString()), {}});
    return;
  }
  const std::uint64_t incoming = callee->AddIncoming([this, call] {
    SendToCaller(
        call,
        {Status(StatusCode::kUnknownOutcome, "connection reset by " + call->to.ToString()), {}});
  });
  callee->Deliver(
      [this, raw = callee.get(), call, body, incoming] { Serve(*raw, call, body, incoming); });
}

void SimulatedNetwork::Serve(SimulatedProcess& callee, const CallPointer& call, const Body& body,
                             std::uint64_t incoming) {
  const auto replied = std::make_shared<bool>(false);
  PeerReplyCallback reply = [this, weak_callee = callee.weak_from_this(), call, incoming,
                             replied](PeerReply answer) {
    const auto process = weak_callee.lock();
    if (!process || !process->alive()) {
      return;
    }
    if (std::exchange(*replied, true)) {
      Log(LogLevel::kError, "peer_method_answered_twice", {{"method", call->method}});
      std::abort();
    }
    process->RemoveIncoming(incoming);
    SendCopyReply(call, std::move(answer));
  };
  const std::shared_ptr<PeerHandler> handler = callee.FindHandler(call->method);
  if (!handler) {
    reply({Status(StatusCode::kUnavailable, "no such peer method: " + call->method), {}});
    return;
  }
  (*handler)({*body, call->from_host}, std::move(reply));
}

void SimulatedNetwork::SendCopyReply(const CallPointer& call, PeerReply reply) {
  if (!reply.status.ok()) {
    ++call->failures;
    if (call->failures < call->copies) {
      return;
    }
  }
  SendToCaller(call, std::move(reply));
}

void SimulatedNetwork::SendToCaller(const CallPointer& call, PeerReply reply) {
  const Message message{call->to.host, call->from_host, reply.body.size()};
  Transmit(message, behaviour_.reply_loss, [call, reply = std::move(reply)] {
    const auto caller = call->caller.lock();
    if (caller) {
      caller->Deliver([raw = caller.get(), id = call->id, reply] { raw->FinishCall(id, reply); });
    }
  });
}

}  // namespace cloverbank
