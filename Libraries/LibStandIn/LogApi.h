#pragma once

#include <LibStandIn/Api.h>
#include <LibStandIn/LogStore.h>
#include <LibStandIn/Signal.h>

namespace StandIn {

/// The stand-in log service (docs/design/platform-protocols.md, "Log service").
class LogApi final : public Api {
public:
    static std::shared_ptr<LogApi> create(std::uint64_t retainRecords);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    LogStore& store() { return m_store; }
    /// Call after a change made through `store()` rather than by HTTP: wakes the waiting readers.
    void wakeReaders() { m_changed.notifyAll(); }

private:
    explicit LogApi(std::uint64_t retainRecords);
    boost::asio::awaitable<void> serveAppend(std::string const& stream, Http::Request&, Http::ResponseWriter&);
    boost::asio::awaitable<void> serveRead(std::string const& stream, Target const&, Http::ResponseWriter&);
    Core::Result<void> serveAdmin(std::string_view path, std::string_view body);

    LogStore m_store;
    Signal m_changed;
};

}
