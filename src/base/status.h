#pragma once
/// @file
/// Expected failures as values. `Status` says whether an operation succeeded and, if not, what kind
/// of failure it was; `Result<T>` is a value or the `Status` that explains its absence.
/// Both are `[[nodiscard]]`: an error is handled or passed on, never dropped.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cloverbank {

/// The kind of a failure. The numbers are part of the peer protocol: append, never renumber.
enum class StatusCode : std::uint8_t {
  kOk = 0,
  kInvalidArgument = 1,     ///< The request itself is wrong; repeating it can not help.
  kNotFound = 2,            ///< The named object does not exist.
  kConflict = 3,            ///< The named version is no longer current, or another owner won.
  kUnavailable = 4,         ///< Not carried out; a later attempt may succeed.
  kUnknownOutcome = 5,      ///< Bytes were sent and no reply came: may or may not have happened.
  kFenced = 6,              ///< The sender's node id is declared dead; it must stop using it.
  kStaleEpoch = 7,          ///< The sender acted under an epoch that has been superseded.
  kNotLeader = 8,           ///< This coordinator is not the leader; `detail` may name the leader.
  kLeaseExpired = 9,        ///< The right needed for the act has run out.
  kResourceExhausted = 10,  ///< A limit (memory, disk, quota, queue) would be exceeded.
  kCorrupt = 11,            ///< Stored or received bytes fail their check.
  kIoError = 12,            ///< The operating system refused a file or socket operation.
  kCancelled = 13,          ///< The caller withdrew the request.
  kInternal = 14,           ///< A broken invariant in this program.
};

/// @return the stable lower-case name of `code`, as used in logs, metrics and JSON errors.
std::string_view StatusCodeName(StatusCode code);

/// Outcome of an operation: OK, or a code with a message for people.
class [[nodiscard]] Status {
 public:
  Status() = default;
  Status(StatusCode code, std::string message, std::string detail = {})
      : code_(code), message_(std::move(message)), detail_(std::move(detail)) {}

  static Status Ok() { return {}; }

  bool ok() const { return code_ == StatusCode::kOk; }
  StatusCode code() const { return code_; }
  /// What went wrong and how to mend it, in words.
  const std::string& message() const { return message_; }
  /// Machine-readable extra whose meaning depends on the code (e.g. the leader's "ip:port").
  const std::string& detail() const { return detail_; }
  /// "ok", or "<code name>: <message>".
  std::string ToString() const;

 private:
  StatusCode code_ = StatusCode::kOk;
  std::string message_;
  std::string detail_;
};

/// A value of type `T`, or the failure that explains why there is none.
template <typename T>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): `return value;` is the normal use.
  Result(T value) : value_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): `return status;` is the normal use.
  Result(Status status) : status_(std::move(status)) {}

  bool ok() const { return value_.has_value(); }
  const Status& status() const { return status_; }
  /// Requires `ok()`.
  const T& value() const& { return *value_; }
  T& value() & { return *value_; }
  T&& value() && { return std::move(*value_); }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }
  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }

 private:
  std::optional<T> value_;
  Status status_;
};

}  // namespace cloverbank
