#pragma once

#include <LibHttp/Client.h>
#include <LibStandIn/Api.h>
#include <LibStandIn/Completion.h>
#include <LibStandIn/EngineCore.h>
#include <LibStandIn/Signal.h>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace StandIn {

/// What the engine's listener needs beside the engine itself.
struct EngineApiSettings {
    EngineSettings engine;
    std::string incarnation; ///< Unique for each start of the process.
    std::optional<boost::asio::ip::tcp::endpoint> weightStore; ///< Asked before a change of weights.
};

/// The stand-in model engine (docs/design/platform-protocols.md, "Model engine").
class EngineApi final : public Api, public std::enable_shared_from_this<EngineApi> {
public:
    /// Errors: BadInput names the setting that is out of range. The io_context must outlive the engine.
    static Core::Result<std::shared_ptr<EngineApi>> create(boost::asio::io_context&, EngineApiSettings);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    EngineCore& core() { return m_core; }

    /// Called when the engine crashes by order of a fault; the default ends the process at once.
    std::function<void()> onCrash;

private:
    using Time = EngineCore::Time;

    EngineApi(boost::asio::io_context&, EngineApiSettings, EngineCore);
    boost::asio::awaitable<void> serveCompletion(Http::Request&, Http::ResponseWriter&, bool isChat);
    boost::asio::awaitable<Core::Result<EngineRequest>> readRequest(Http::Request const&, Completion&&);
    boost::asio::awaitable<Core::Result<void>> importCache(std::string source);
    boost::asio::awaitable<void> sendStream(std::string id, std::uint64_t from, Http::ResponseWriter&);
    boost::asio::awaitable<void> sendWhole(std::string id, Http::ResponseWriter&);
    boost::asio::awaitable<void> waitForProgress(std::string const& id);
    static boost::asio::awaitable<void> loadWeights(std::shared_ptr<EngineApi>);
    Http::Response respond(Http::Request const&, Target const&);
    Http::Response respondControl(Http::Request const&, Target const&);
    Http::Response cancel(std::string const& id);
    Http::Response takeOrder(std::string_view body);
    void afterChange();

    boost::asio::io_context& m_context;
    EngineApiSettings m_settings;
    EngineCore m_core;
    std::unique_ptr<Http::Client> m_client;
    boost::asio::steady_timer m_timer;
    std::unordered_map<std::string, Signal> m_signals; ///< For each request that somebody waits for.
    std::uint64_t m_requestsWithoutId { 0 };
    bool m_isLoadingWeights { false };
};

}
