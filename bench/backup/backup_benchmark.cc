/// @file
/// Measures the throughput of WriteSegment (over HTTP on loopback; the backup responds after the
/// sync) and compares it with a raw loop of pwrite and fdatasync of the same number of bytes on the
/// same disk, in one run:
///
///     backup_benchmark FOLDER [SECONDS]
///
/// The program creates `FOLDER` and doesn't remove it. It prints one line for each write size and
/// number of segments written concurrently; `ratio` is the backup's writes divided by those of the
/// raw loop, both to that many files.

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "backup/backup_service.h"
#include "base/metrics.h"
#include "log_format/segment_format.h"
#include "net/asio_environment.h"
#include "net/beast_http_client.h"
#include "net/beast_http_server.h"
#include "net/event_loop.h"
#include "runtime/typed_peer.h"
#include "storage/posix_data_folder.h"

namespace cloverbank {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kSegmentBytes = 4ULL << 20U;
constexpr std::uint64_t kNodeId = 1;
constexpr Duration kDeadline = seconds(10);

/// Prints the error and exits.
[[noreturn]] void Fail(const std::string& what) {
  std::fprintf(stderr, "backup_benchmark: %s\n", what.c_str());
  std::exit(EXIT_FAILURE);
}

/// Number of writes of all writers together and the time that they took.
struct Rate {
  std::uint64_t writes = 0;
  double seconds = 0;
  double per_second() const { return static_cast<double>(writes) / seconds; }
};

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// The raw loop of one thread: overwrites a preallocated file and syncs after each write.
/// @param limit seconds to run. @return the number of writes.
std::uint64_t RawWrites(const std::string& path, std::size_t bytes, double limit) {
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0 || ::posix_fallocate(file, 0, kSegmentBytes) != 0 || ::fsync(file) != 0) {
    Fail("cannot create " + path);
  }
  const std::string data(bytes, 'x');
  std::uint64_t writes = 0;
  std::uint64_t offset = 0;
  const Clock::time_point start = Clock::now();
  while (SecondsSince(start) < limit) {
    offset = offset + bytes > kSegmentBytes ? 0 : offset;
    if (::pwrite(file, data.data(), bytes, static_cast<off_t>(offset)) !=
            static_cast<ssize_t>(bytes) ||
        ::fdatasync(file) != 0) {
      Fail("cannot write " + path);
    }
    offset += bytes;
    ++writes;
  }
  ::close(file);
  return writes;
}

Rate MeasureRaw(const std::string& folder, std::size_t bytes, std::size_t writers, double limit) {
  std::vector<std::uint64_t> counts(writers);
  std::vector<std::thread> threads;
  const Clock::time_point start = Clock::now();
  for (std::size_t index = 0; index < writers; ++index) {
    threads.emplace_back([&, index] {
      counts[index] = RawWrites(folder + "/raw-" + std::to_string(index), bytes, limit);
    });
  }
  Rate rate;
  for (std::size_t index = 0; index < writers; ++index) {
    threads[index].join();
    rate.writes += counts[index];
  }
  rate.seconds = SecondsSince(start);
  return rate;
}

/// Measures a backup and the queue nodes that write to it, all on one event loop.
class BackupRun {
 public:
  BackupRun(const std::string& folder, std::size_t bytes, std::size_t writers, double limit)
      : folder_(folder, [this](std::function<void()> action) { loop_.Post(std::move(action)); }),
        server_(loop_, {{"127.0.0.1", 0}}, metrics_, nullptr),
        client_(loop_, {}, nullptr),
        bytes_(bytes),
        writers_(writers),
        limit_(limit) {}

  Rate Measure() {
    if (!folder_.Open().ok() || !server_.Listen().ok()) {
      Fail("cannot open the data folder or listen");
    }
    environment_ =
        std::make_unique<AsioEnvironment>(loop_, client_, server_, server_.endpoint(), metrics_);
    service_ = std::make_unique<BackupService>(*environment_, folder_, BackupOptions());
    if (const Status loaded = service_->Load(); !loaded.ok()) {
      Fail(loaded.ToString());
    }
    loop_.Post([this] {
      start_ = Clock::now();
      for (std::size_t index = 0; index < writers_; ++index) {
        OpenNext();
      }
    });
    loop_.Run();
    return {writes_, elapsed_};
  }

 private:
  struct Segment {
    SegmentId id;
    std::uint64_t length = 0;
    std::string entry;
  };
  using SegmentPtr = std::shared_ptr<Segment>;

  template <typename Response, typename Request>
  void Call(std::string_view method, Request request, const SegmentPtr& segment,
            std::function<void()> next) {
    request.set_node_id(kNodeId);
    request.set_segment_id(segment->id.value());
    CallPeer<Response>(*environment_, server_.endpoint(), method, request, kDeadline,
                       [method, next = std::move(next)](const Result<Response>& result) {
                         if (!result.ok()) {
                           Fail(std::string(method) + ": " + result.status().ToString());
                         }
                         next();
                       });
  }

  void OpenNext() {
    last_segment_ = last_segment_.Next();
    const auto segment = std::make_shared<Segment>();
    segment->id = last_segment_;
    segment->entry = EntryOf(segment->id);
    proto::OpenSegmentRequest request;
    request.set_epoch(1);
    request.set_capacity(kSegmentBytes);
    Call<proto::OpenSegmentResponse>("backup.OpenSegment", request, segment,
                                     [this, segment] { Write(segment); });
  }

  std::string EntryOf(SegmentId id) const {
    proto::LogEntry entry;
    entry.set_partition_tag(1);
    entry.mutable_batch_cancelled()->set_batch_id(std::string(bytes_, 'x'));
    entry.mutable_batch_cancelled()->mutable_batch_id()->resize(2 * bytes_ -
                                                                FramedEntryBytes(entry));
    std::string framed;
    AppendEntry(&framed, id, entry);
    return framed;
  }

  void Write(const SegmentPtr& segment) {
    elapsed_ = SecondsSince(start_);
    if (elapsed_ >= limit_) {
      if (--writers_ == 0) {
        loop_.Stop();
      }
      return;
    }
    if (segment->length + segment->entry.size() > kSegmentBytes) {
      Close(segment);
      return;
    }
    proto::WriteSegmentRequest request;
    request.set_epoch(1);
    request.set_offset(segment->length);
    request.set_data(segment->entry);
    Call<proto::WriteSegmentResponse>("backup.WriteSegment", std::move(request), segment,
                                      [this, segment] {
                                        segment->length += segment->entry.size();
                                        ++writes_;
                                        Write(segment);
                                      });
  }

  void Close(const SegmentPtr& segment) {
    proto::CloseSegmentRequest request;
    request.set_length(segment->length);
    Call<proto::CloseSegmentResponse>("backup.CloseSegment", request, segment, [this, segment] {
      Call<proto::FreeSegmentResponse>("backup.FreeSegment", proto::FreeSegmentRequest(), segment,
                                       [this] { OpenNext(); });
    });
  }

  EventLoop loop_;
  Metrics metrics_;
  PosixDataFolder folder_;
  BeastHttpServer server_;
  BeastHttpClient client_;
  std::unique_ptr<AsioEnvironment> environment_;
  std::unique_ptr<BackupService> service_;
  std::size_t bytes_;
  std::size_t writers_;
  double limit_;
  Clock::time_point start_;
  double elapsed_ = 0;
  std::uint64_t writes_ = 0;
  SegmentId last_segment_;
};

int Main(const std::string& folder, double limit) {
  std::filesystem::create_directories(folder);
  std::printf("%10s %9s %14s %14s %7s\n", "bytes", "segments", "backup/s", "raw/s", "ratio");
  for (const std::size_t writers : {1U, 4U}) {
    for (const std::size_t bytes : {1024U, 16384U, 262144U}) {
      const Rate raw = MeasureRaw(folder, bytes, writers, limit);
      const std::string data =
          folder + "/backup-" + std::to_string(writers) + "-" + std::to_string(bytes);
      const Rate backup = BackupRun(data, bytes, writers, limit).Measure();
      std::printf("%10zu %9zu %14.0f %14.0f %7.2f\n", bytes, writers, backup.per_second(),
                  raw.per_second(), backup.per_second() / raw.per_second());
    }
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cloverbank

int main(int argc, char** argv) {
  if (argc < 2 || argc > 3) {
    std::fprintf(stderr, "usage: backup_benchmark FOLDER [SECONDS]\n");
    return EXIT_FAILURE;
  }
  constexpr double kDefaultSeconds = 3;
  const double limit = argc == 3 ? std::strtod(argv[2], nullptr) : kDefaultSeconds;
  return cloverbank::Main(argv[1], limit);
}
