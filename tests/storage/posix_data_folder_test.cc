#include "storage/posix_data_folder.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <fstream>
#include <optional>
#include <semaphore>

#include "temporary_folder.h"
#include "test_loop.h"

namespace cloverbank {
namespace {

class PosixDataFolderTest : public testing::Test {
 protected:
  Status Open(FileCalls calls = {}) {
    folder.emplace(temporary_folder.path(), loop.poster(), std::move(calls));
    return folder->Open();
  }
  /// @return a callback that records the status of one operation.
  DataFolder::Done RecordStatus() {
    ++submitted;
    return [this](Status status) { statuses.push_back(std::move(status)); };
  }
  /// Waits for all operations submitted with `RecordStatus`. @return the status of the last one.
  Status WaitForAll() {
    loop.RunUntil([this] { return statuses.size() == submitted; });
    return statuses.back();
  }
  /// @return the content of the file `name`, or the name of the error code.
  std::string Content(const std::string& name) {
    const auto content = folder->Read(name);
    return content.ok() ? *content : std::string(StatusCodeName(content.status().code()));
  }

  TemporaryFolder temporary_folder;
  TestLoop loop;
  std::optional<PosixDataFolder> folder;
  std::size_t submitted = 0;
  std::vector<Status> statuses;
};

TEST_F(PosixDataFolderTest, KeepsFilesOverRestartsAndRemovesTemporaryFiles) {
  ASSERT_TRUE(Open().ok());
  folder->Append("segments/1", "one", RecordStatus());
  folder->Replace("vote", "7", RecordStatus());
  ASSERT_TRUE(WaitForAll().ok());
  folder.reset();
  std::ofstream(temporary_folder.path() + "/vote.replacing") << "half";
  std::ofstream(temporary_folder.path() + "/segments/1.replacing") << "half";
  ASSERT_TRUE(Open().ok());
  EXPECT_EQ(*folder->List(""), std::vector<std::string>{"vote"});
  EXPECT_EQ(*folder->List("segments"), std::vector<std::string>{"1"});
  EXPECT_TRUE(folder->List("none")->empty());
  EXPECT_EQ(Content("segments/1"), "one");
  EXPECT_EQ(Content("none"), "not_found");
  EXPECT_FALSE(std::filesystem::exists(temporary_folder.path() + "/vote.replacing"));
  EXPECT_FALSE(std::filesystem::exists(temporary_folder.path() + "/segments/1.replacing"));
  EXPECT_GT(folder->FreeBytes(), 0U);
}

TEST_F(PosixDataFolderTest, RefusesSecondOwnerAndUseBeforeOpen) {
  ASSERT_TRUE(Open().ok());
  PosixDataFolder second(temporary_folder.path(), loop.poster());
  EXPECT_EQ(second.Open().code(), StatusCode::kConflict);
  second.Append("log", "x", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kInternal);
  folder.reset();
  PosixDataFolder third(temporary_folder.path(), loop.poster());
  EXPECT_TRUE(third.Open().ok());
}

TEST_F(PosixDataFolderTest, RefusesEscapingAndReservedNames) {
  ASSERT_TRUE(Open().ok());
  for (const char* name :
       {"", "/", "a/", "/a", "../a", "a/../b", "a/b/c", ".lock", "a/.b", "a.replacing"}) {
    folder->Append(name, "x", RecordStatus());
    EXPECT_EQ(WaitForAll().code(), StatusCode::kInvalidArgument) << name;
    EXPECT_EQ(folder->Read(name).status().code(), StatusCode::kInvalidArgument) << name;
  }
}

TEST_F(PosixDataFolderTest, WaitingWritesShareOneSync) {
  std::atomic<int> syncs = 0;
  std::binary_semaphore sync_started(0);
  std::binary_semaphore continue_sync(0);
  FileCalls calls;
  calls.sync_data = [&](int descriptor) {
    if (++syncs == 1) {
      sync_started.release();
      continue_sync.acquire();
    }
    return ::fdatasync(descriptor);
  };
  ASSERT_TRUE(Open(calls).ok());
  folder->Append("log", "0", RecordStatus());
  sync_started.acquire();
  std::string expected = "0";
  for (int index = 1; index < 100; ++index) {
    folder->Append("log", std::to_string(index), RecordStatus());
    expected += std::to_string(index);
  }
  bool other_done = false;
  folder->Append("other", "x", [&other_done](const Status&) { other_done = true; });
  loop.RunUntil([&other_done] { return other_done; });
  EXPECT_TRUE(statuses.empty());
  continue_sync.release();
  EXPECT_TRUE(WaitForAll().ok());
  EXPECT_EQ(syncs, 3);
  EXPECT_EQ(Content("log"), expected);
}

TEST_F(PosixDataFolderTest, ContinuesShortAndInterruptedWrites) {
  int call = 0;
  FileCalls calls;
  calls.write_at = [&call](int descriptor, const void* bytes, std::size_t size, off_t offset) {
    if (++call % 2 == 0) {
      errno = EINTR;
      return ssize_t{-1};
    }
    return ::pwrite(descriptor, bytes, std::min<std::size_t>(size, 3), offset);
  };
  calls.reserve = [&call](int descriptor, off_t offset, off_t size) {
    return ++call % 2 == 0 ? EINTR : ::posix_fallocate(descriptor, offset, size);
  };
  ASSERT_TRUE(Open(calls).ok());
  folder->Append("log", "0123456789", RecordStatus());
  folder->Reserve("log", 12, RecordStatus());
  folder->WriteAt("log", 2, "abcdefgh", RecordStatus());
  ASSERT_TRUE(WaitForAll().ok());
  EXPECT_EQ(Content("log"), std::string("01abcdefgh\0\0", 12));
}

TEST_F(PosixDataFolderTest, FullDiskLeavesNoPartialWrite) {
  std::atomic<std::size_t> free_bytes = 5;
  FileCalls calls;
  calls.write_at = [&free_bytes](int descriptor, const void* bytes, std::size_t size,
                                 off_t offset) {
    const std::size_t taken = std::min(size, free_bytes.load());
    free_bytes -= taken;
    if (taken == 0) {
      errno = ENOSPC;
      return ssize_t{-1};
    }
    return ::pwrite(descriptor, bytes, taken, offset);
  };
  calls.reserve = [](int, off_t, off_t) { return ENOSPC; };
  ASSERT_TRUE(Open(calls).ok());
  folder->Append("log", "abc", RecordStatus());
  EXPECT_TRUE(WaitForAll().ok());
  folder->Append("log", "defg", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kResourceExhausted);
  EXPECT_NE(statuses.back().message().find("write " + temporary_folder.path() + "/log"),
            std::string::npos);
  folder->Reserve("log", 100, RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kResourceExhausted);
  folder->Replace("log", "new", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kResourceExhausted);
  folder->Append("fresh", "x", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kResourceExhausted);
  EXPECT_EQ(Content("log"), "abc");
  free_bytes = 100;
  folder->Append("log", "defg", RecordStatus());
  EXPECT_TRUE(WaitForAll().ok());
  EXPECT_EQ(Content("log"), "abcdefg");
  EXPECT_EQ(*folder->List(""), std::vector<std::string>{"log"});
}

TEST_F(PosixDataFolderTest, RefusesWritesAfterFailedSync) {
  std::atomic<int> syncs = 0;
  std::atomic<bool> fail_syncs = true;
  FileCalls calls;
  calls.sync_data = [&](int descriptor) {
    ++syncs;
    if (fail_syncs) {
      errno = EIO;
      return -1;
    }
    return ::fdatasync(descriptor);
  };
  ASSERT_TRUE(Open(calls).ok());
  folder->Append("log", "a", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kIoError);
  EXPECT_NE(statuses.back().message().find("fdatasync " + temporary_folder.path() + "/log"),
            std::string::npos);
  folder->Replace("vote", "a", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kIoError);
  fail_syncs = false;
  folder->Append("log", "b", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kIoError);
  folder->Replace("vote", "b", RecordStatus());
  EXPECT_EQ(WaitForAll().code(), StatusCode::kIoError);
  EXPECT_EQ(syncs, 2);
  folder->Append("other", "c", RecordStatus());
  EXPECT_TRUE(WaitForAll().ok());
}

TEST_F(PosixDataFolderTest, DestructorFinishesWorkWithoutCallbacks) {
  ASSERT_TRUE(Open().ok());
  std::string expected;
  for (int index = 0; index < 50; ++index) {
    folder->Append("log", std::to_string(index), RecordStatus());
    expected += std::to_string(index);
  }
  folder.reset();
  loop.RunPosted();
  EXPECT_TRUE(statuses.empty());
  ASSERT_TRUE(Open().ok());
  EXPECT_EQ(Content("log"), expected);
}

}  // namespace
}  // namespace cloverbank
