#pragma once

#include <LibCore/Result.h>
#include <LibFleet/RecordUploads.h>
#include <LibFleet/StoreReplica.h>
#include <LibPeer/Clients.h>
#include <LibPeer/Server.h>
#include <LibPlatform/KeyedStore.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Daemon {

/// What a daemon asks another for: what is new of a topic of the platform's store.
struct RecordsRequest {
    Platform::StoreTopic topic { Platform::StoreTopic::Configuration };
    std::uint64_t from { 0 }; ///< The first offset that the asker does not know.
    bool wantsAll { false }; ///< It knows nothing yet.
    std::optional<std::uint64_t> baseOffset {}; ///< Of a large record that the asker has.
    bool readsCompressed { true };
};

/// What a daemon knows of a topic.
struct RecordsAnswer {
    Fleet::StoreReplica::Extract extract;
    std::optional<std::chrono::milliseconds> age; ///< Of its copy, at most; nothing: it does not know.
};

/// A compressed answer, as it is sent to every peer that asks the same.
struct CompressedRecords {
    std::string bytes;
    std::optional<std::uint64_t> baseOffset; ///< Of the record whose value is needed to restore them.
};

/// Forms of the messages of an exchange. `decode` errors: Corrupt. Thread-safe.
std::string encode(RecordsRequest const&);
Core::Result<RecordsRequest> decodeRecordsRequest(std::string_view);
std::string encode(RecordsAnswer const&);
std::string encode(CompressedRecords const&, std::optional<std::chrono::milliseconds> age);
/// `base` is the value of the record that the request named; empty: it named none.
Core::Result<RecordsAnswer> decodeRecords(std::string_view, std::string_view base = {});
std::string encode(Fleet::Deferral const&);
Core::Result<Fleet::Deferral> decodeDeferral(std::string_view);

/// Hands records of the platform's store on between daemons, over streams of LibPeer: where daemons are many each news is
/// read from the store once or twice, and what any daemon knows reaches those that the store does not answer.
/// Use from the control thread only.
class RecordExchange {
public:
    /// What a peer replies: records, or where and when to ask instead.
    using Reply = std::variant<RecordsAnswer, Fleet::Deferral>;

    struct Hooks {
        /// Returns what this daemon knows. Errors: Unavailable while it does not know the topic itself.
        std::function<Core::Result<RecordsAnswer>(RecordsRequest const&)> answer;
        /// Returns the value of a record at this offset, also of one that was replaced lately; null if it is not known.
        std::function<std::string const*(Platform::StoreTopic, std::uint64_t offset)> findVersion { [](Platform::StoreTopic, std::uint64_t) { return nullptr; } };
    };

    /// Listens for peers at once. Errors: Unavailable when the address cannot be bound; BadInput from the settings.
    static Core::Result<std::unique_ptr<RecordExchange>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const& listen, Peer::Settings const&, Fleet::RecordUploadSettings const&, Hooks);

    /// Asks one peer, for at most `timeout` in all. `base` is the value of the record that the request names.
    /// Errors: Unavailable, Timeout, Corrupt; asking again does no harm.
    boost::asio::awaitable<Core::Result<Reply>> ask(boost::asio::ip::tcp::endpoint peer, RecordsRequest, std::string base, std::chrono::milliseconds timeout);

    /// Returns how many bytes of answers wait to be sent.
    std::size_t pendingBytes() const { return m_uploads.pendingBytes(); }

private:
    struct Upload {
        std::shared_ptr<Peer::ServerStream> stream;
        std::string body;
        std::size_t sent { 0 }; ///< Bytes of the body.
    };
    /// Answers to the same question do not differ but in their age.
    struct Cached {
        RecordsRequest request;
        std::uint64_t next { 0 };
        std::size_t recordCount { 0 };
        CompressedRecords answer;
    };

    RecordExchange(boost::asio::io_context&, Fleet::RecordUploadSettings const&, Hooks);
    void answer(Peer::Request const&, std::shared_ptr<Peer::ServerStream> const&);
    std::string bodyOf(RecordsRequest const&, RecordsAnswer const&);
    CompressedRecords const* findCached(RecordsRequest const&, RecordsAnswer const&) const;
    void sendChunks();
    void cancel(Fleet::RecordUploads::Id);

    Hooks m_hooks;
    Fleet::RecordUploads m_uploads;
    std::map<Fleet::RecordUploads::Id, Upload> m_streams;
    std::deque<Cached> m_cache; ///< Latest last.
    boost::asio::steady_timer m_chunkTimer;
    std::shared_ptr<Peer::Clients> m_clients;
    std::shared_ptr<Peer::Server> m_server;
};

}
