#pragma once
/// @file
/// A deterministic simulation for the services: machines with a disk and one process each, a
/// network that delays, loses, duplicates and cuts messages, and one seeded event queue. The same
/// seed always gives the same run, so a failing seed can be replayed. Nothing here reads the real
/// clock.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// How the network treats messages. The probabilities apply to each request and each reply
/// independently.
struct NetworkBehaviour {
  Duration minimum_delay = milliseconds(1);
  Duration maximum_delay = milliseconds(5);
  double request_loss = 0;         ///< Probability that a request never arrives.
  double reply_loss = 0;           ///< Probability that a reply never arrives.
  double request_duplication = 0;  ///< Probability that a request is delivered twice.
  /// Rate of each machine's outgoing link; messages wait for those sent before them. 0: unlimited.
  std::uint64_t link_bytes_per_second = 0;
};

/// How long syncs take, and what a power loss does to unsynced bytes.
struct DiskBehaviour {
  Duration minimum_sync = milliseconds(1);
  Duration maximum_sync = milliseconds(8);
  /// Whether a power loss may keep a random prefix of the unsynced bytes (a torn tail).
  bool torn_tails = true;
};

class SimulatedWorld;

/// A machine: an address, a disk, and at most one running process.
class SimulatedMachine {
 public:
  /// Creates the objects that the process runs. The returned object is destroyed when the process
  /// ends.
  using Program = std::function<std::shared_ptr<void>(Environment&, DataFolder&)>;

  virtual ~SimulatedMachine() = default;
  virtual const std::string& name() const = 0;
  virtual const Endpoint& endpoint() const = 0;
  virtual bool running() const = 0;

  virtual void SetProgram(Program program) = 0;
  /// Starts a new process run. Requires that none is running.
  virtual void Start() = 0;
  /// Like kill -9: the process ends at once; bytes written to the operating system stay.
  virtual void Kill() = 0;
  /// Power loss: the process ends, and unsynced bytes are dropped, or torn with
  /// `DiskBehaviour::torn_tails`. Connections are not broken: callers wait until their deadline.
  virtual void LosePower() = 0;
  /// Like `Kill`, and all files are lost.
  virtual void LoseDisk() = 0;
  /// Like SIGSTOP: timers and messages that become due meanwhile run at once after `Wake`, in
  /// order, as real timers and sockets would deliver them. Deadlines of callers keep running.
  virtual void Freeze() = 0;
  /// Like SIGCONT.
  virtual void Wake() = 0;
  /// The disk, for a test to check or damage its files. Operations are durable at once; their
  /// callbacks run as events of the current time.
  virtual DataFolder& disk() = 0;
  /// Flips one bit of a stored file. @return kNotFound if there is no such file or byte.
  virtual Status FlipBit(const std::string& file, std::uint64_t byte) = 0;
  /// From now on writes that would make the disk hold more than `bytes` fail with
  /// kResourceExhausted.
  virtual void SetDiskLimit(std::uint64_t bytes) = 0;
  /// While `fail` is set, every sync fails with kIoError. A file whose sync failed accepts no more
  /// writes in this process run, and its unsynced bytes are lost in the next run.
  virtual void FailSyncs(bool fail) = 0;
};

class SimulatedWorld {
 public:
  explicit SimulatedWorld(std::uint64_t seed);
  ~SimulatedWorld();
  SimulatedWorld(const SimulatedWorld&) = delete;
  SimulatedWorld& operator=(const SimulatedWorld&) = delete;

  TimePoint Now() const;
  /// Random numbers for fault schedules; the same seed gives the same numbers.
  std::uint64_t Random();
  /// @return a number in [0, bound).
  std::uint64_t RandomBelow(std::uint64_t bound);

  NetworkBehaviour& network();
  DiskBehaviour& disks();

  /// Adds a machine with peer port 7401, which exists as long as the world. The name must be new.
  SimulatedMachine& AddMachine(const std::string& name, const std::string& host);
  SimulatedMachine& machine(std::string_view name);

  /// Loses all requests and replies from machine `from` to machine `to`, in this direction only.
  void Cut(std::string_view from, std::string_view to);
  /// Cuts `name` off from every other machine, in both directions.
  void Isolate(std::string_view name);
  /// Removes every cut.
  void HealAll();
  /// Removes every cut from or to `name`.
  void Heal(std::string_view name);

  /// Runs `action` after `delay`, outside any process, for fault schedules and clients.
  void ScheduleAfter(Duration delay, std::function<void()> action);
  /// Makes a peer call from outside any machine, e.g. as a client in a test. `Cut` and `Isolate`
  /// don't affect it.
  void CallPeer(const Endpoint& to, std::string_view method, std::string body, Duration deadline,
                PeerReplyCallback done);

  /// Runs all events of the next `time`.
  void RunFor(Duration time);
  /// Runs until `condition` holds or `limit` has passed. @return whether it held.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank
