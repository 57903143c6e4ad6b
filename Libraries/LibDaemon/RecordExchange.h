#pragma once

#include <LibCore/Result.h>
#include <LibFleet/StoreReplica.h>
#include <LibPeer/Clients.h>
#include <LibPeer/Server.h>
#include <LibPlatform/KeyedStore.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Daemon {

/// What a daemon asks another for: what is new of a topic of the platform's store.
struct RecordsRequest {
    Platform::StoreTopic topic { Platform::StoreTopic::Configuration };
    std::uint64_t from { 0 }; ///< The first offset that the asker does not know.
    bool wantsAll { false }; ///< It knows nothing yet.
};

/// What a daemon knows of a topic.
struct RecordsAnswer {
    Fleet::StoreReplica::Extract extract;
    std::optional<std::chrono::milliseconds> age; ///< Of its copy, at most; nothing: it does not know.
};

/// Forms of the messages of an exchange. `decode` errors: Corrupt. Thread-safe.
std::string encode(RecordsRequest const&);
Core::Result<RecordsRequest> decodeRecordsRequest(std::string_view);
std::string encode(RecordsAnswer const&);
Core::Result<RecordsAnswer> decodeRecords(std::string_view);

/// Hands records of the platform's store on between daemons, over streams of LibPeer: where daemons are many each news is
/// read from the store once or twice, and what any daemon knows reaches those that the store does not answer.
/// Use from the control thread only.
class RecordExchange {
public:
    /// Returns what this daemon knows. Errors: Unavailable while it does not know the topic itself.
    using AnswerHook = std::function<Core::Result<RecordsAnswer>(RecordsRequest const&)>;

    /// Listens for peers at once. Errors: Unavailable when the address cannot be bound; BadInput from the settings.
    static Core::Result<std::unique_ptr<RecordExchange>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const& listen, Peer::Settings const&, AnswerHook);

    /// Asks one peer. Errors: Unavailable, Timeout, Corrupt; asking again does no harm.
    boost::asio::awaitable<Core::Result<RecordsAnswer>> ask(boost::asio::ip::tcp::endpoint peer, RecordsRequest);

private:
    explicit RecordExchange(AnswerHook);
    void answer(Peer::Request const&, Peer::ServerStream&);

    AnswerHook m_answer;
    std::shared_ptr<Peer::Clients> m_clients;
    std::shared_ptr<Peer::Server> m_server;
};

}
