#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>

#include <boost/leaf.hpp>
#include <csignal>
#include <sys/resource.h>

#include "tarragonspar/storage/log_file.hpp"

namespace {

namespace leaf = boost::leaf;
using namespace tarragonspar::storage;

/// A folder that is removed on destruction.
class temporary_folder {
public:
    temporary_folder() {
        auto pattern = (std::filesystem::temp_directory_path() / "tarragon-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    [[nodiscard]] std::string file(const std::string& name) const {
        return path_ + "/" + name;
    }

private:
    std::string path_;
};

struct open_result {
    std::vector<std::string> records;
    std::optional<file_error> error;
};

/// Opens a log, appends records, and returns the replayed records and the error, if any.
open_result open_and_append(const std::string& path, const std::vector<std::string>& added) {
    open_result out;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(log, log_file::open(path, [&](std::string_view record) {
                                out.records.emplace_back(record);
                            }));
            return log.append(added);
        },
        [&](const file_error& error) { out.error = error; }, [] { FAIL() << "unknown error"; });
    return out;
}

void write_bytes(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::string read_bytes(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST(LogFile, ReplaysRecordsInOrder) {
    const temporary_folder folder;
    open_and_append(folder.file("log"), {"one", "", "three"});
    open_and_append(folder.file("log"), {"four"});
    const auto replayed = open_and_append(folder.file("log"), {});
    EXPECT_EQ(replayed.records, (std::vector<std::string>{"one", "", "three", "four"}));
}

TEST(LogFile, TruncatesATornTail) {
    const temporary_folder folder;
    const auto path = folder.file("log");
    open_and_append(path, {"one", "two"});
    const auto complete_file = read_bytes(path);
    const auto before_two = complete_file.size() - 16 - 3;
    for (auto length = before_two; length < complete_file.size(); ++length) {
        write_bytes(path, complete_file.substr(0, length));
        const auto replayed = open_and_append(path, {"new"});
        ASSERT_FALSE(replayed.error) << describe(*replayed.error);
        EXPECT_EQ(replayed.records, std::vector<std::string>{"one"});
        EXPECT_EQ(open_and_append(path, {}).records, (std::vector<std::string>{"one", "new"}));
    }
}

TEST(LogFile, ReportsFileAndOffsetOfCorruption) {
    const temporary_folder folder;
    const auto path = folder.file("log");
    open_and_append(path, {"first", "second"});
    const auto complete_file = read_bytes(path);
    for (std::size_t position = 8; position < complete_file.size(); ++position) {
        auto damaged = complete_file;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x40);
        write_bytes(path, damaged);
        const auto replayed = open_and_append(path, {});
        ASSERT_TRUE(replayed.error) << "a flipped bit at " << position << " was not detected";
        EXPECT_EQ(replayed.error->kind, file_error_kind::corrupt);
        EXPECT_EQ(replayed.error->file, path);
        EXPECT_LE(replayed.error->offset, position);
    }
}

TEST(LogFile, RejectsAnUnknownFormat) {
    const temporary_folder folder;
    write_bytes(folder.file("log"), "something else entirely");
    EXPECT_EQ(open_and_append(folder.file("log"), {}).error->kind, file_error_kind::wrong_format);
}

TEST(LogFile, AFailedAppendKeepsEarlierRecordsAndAddsNone) {
    const temporary_folder folder;
    const auto path = folder.file("log");
    open_and_append(path, {"kept"});
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    rlimit reduced = before;
    reduced.rlim_cur = 4096;
    ::setrlimit(RLIMIT_FSIZE, &reduced);
    const auto failed = open_and_append(path, {std::string(100'000, 'x')});
    ::setrlimit(RLIMIT_FSIZE, &before);
    EXPECT_TRUE(failed.error);
    EXPECT_EQ(open_and_append(path, {"more"}).records, std::vector<std::string>{"kept"});
    EXPECT_EQ(open_and_append(path, {}).records, (std::vector<std::string>{"kept", "more"}));
}

TEST(SnapshotFile, IsReplacedAtomically) {
    const temporary_folder folder;
    const auto path = folder.file("snapshot");
    EXPECT_EQ(read_file(path).value(), "");
    ASSERT_TRUE(replace_file(path, "first"));
    ASSERT_TRUE(replace_file(path, std::string(100'000, 'y')));
    EXPECT_EQ(read_file(path).value().size(), 100'000U);
}

TEST(SnapshotFile, RejectsCorruption) {
    const temporary_folder folder;
    const auto path = folder.file("snapshot");
    ASSERT_TRUE(replace_file(path, "content"));
    auto bytes = read_bytes(path);
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    write_bytes(path, bytes);
    std::optional<file_error> reported;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(read_file(path));
            return {};
        },
        [&](const file_error& error) { reported = error; }, [] {});
    ASSERT_TRUE(reported);
    EXPECT_EQ(reported->kind, file_error_kind::corrupt);
}

// Earlier synced records are replayed whichever prefix of the last group reached the disk.
RC_GTEST_PROP(LogFile, NeverLosesASyncedRecord, ()) {
    const temporary_folder folder;
    const auto path = folder.file("log");
    const auto first =
        *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    const auto second =
        *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    open_and_append(path, first);
    const auto synced = read_bytes(path).size();
    open_and_append(path, second);
    const auto complete_file = read_bytes(path);
    const auto length = *rc::gen::inRange<std::size_t>(synced, complete_file.size() + 1);
    write_bytes(path, complete_file.substr(0, length));
    const auto replayed = open_and_append(path, {});
    RC_ASSERT(!replayed.error);
    RC_ASSERT(replayed.records.size() >= first.size());
    RC_ASSERT(std::equal(first.begin(), first.end(), replayed.records.begin()));
}
