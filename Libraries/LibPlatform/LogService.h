#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Platform {

/// A record as the log service keeps it.
struct LogEntry {
    std::uint64_t offset { 0 };
    std::string data;
};

/// A run of records of one stream.
struct LogBatch {
    std::uint64_t first { 0 }; ///< The oldest offset still kept.
    std::uint64_t next { 0 }; ///< The offset that the next append gets.
    std::vector<LogEntry> entries;
    bool isExpired { false }; ///< What was asked for lies before `first`; there are no entries.
};

/// The platform's append-only log. Use from the thread of the client that it was created with.
class LogService {
public:
    virtual ~LogService() = default;

    /// Appends a record and returns its offset. Errors: an error with verdict MayHaveRun means that the record
    /// may stand in the log: only reading tells. NotRun: it certainly does not.
    virtual boost::asio::awaitable<Core::Result<std::uint64_t>> append(std::string stream, std::string data) = 0;

    /// Reads records from `from` on, waiting up to `wait` for the first. Errors: Unavailable, Timeout, BadInput.
    virtual boost::asio::awaitable<Core::Result<LogBatch>> read(std::string stream, std::uint64_t from, std::uint32_t limit, std::chrono::milliseconds wait) = 0;
};

/// Creates the adapter that speaks docs/design/platform-protocols.md over HTTP.
/// Precondition: the client outlives it.
std::unique_ptr<LogService> createHttpLogService(Http::Client&, boost::asio::ip::tcp::endpoint);

}
